"""Plays days of a deployment with the users' bench and reads its reports."""
