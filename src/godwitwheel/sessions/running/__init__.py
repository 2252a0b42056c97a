"""Runs statements and transactions: attempts, deadlines and outcomes."""
