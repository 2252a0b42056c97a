"""A stand-in for a target: SQLite behind the target interface."""
