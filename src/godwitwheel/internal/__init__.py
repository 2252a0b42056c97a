"""Helpers that every layer shares."""
