"""Replicated log: elections, replication, storage and snapshots."""
