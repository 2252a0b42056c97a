"""Chooses targets and schedules the statements that wait for one."""
