"""Collects, checks and publishes service files."""
