"""Interactive sessions: statements of callers on pooled connections."""
