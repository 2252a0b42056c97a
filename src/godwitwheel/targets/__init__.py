"""Connections to targets: the abstract interface and its HTTP/JSON adapter."""
