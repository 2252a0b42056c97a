"""The control process: configuration, membership, leases, promotion and claims."""
