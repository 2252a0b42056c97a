"""What control keeps for interactive sessions: the routing table, the targets that
announce themselves, and which of them leads its service."""
