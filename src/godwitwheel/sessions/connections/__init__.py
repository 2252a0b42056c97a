"""Connections to targets: the abstract interface, the pool, session state on them."""
