"""Client accounts: their keys, and the limits on what they may ask."""
