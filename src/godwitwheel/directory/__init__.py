"""The directory that control replicates for interactive sessions: the routing table,
the announced targets, and the primary of each service."""
