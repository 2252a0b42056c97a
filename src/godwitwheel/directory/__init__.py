"""The replicated directory that control keeps for interactive sessions.

It holds the routing table, the announced targets, and each service's primary and owner.
"""
