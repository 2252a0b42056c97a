"""Owners of a service's connections, and the proxies' calls to them."""
