"""What a process reports to control and learns from it: views, leases, samples."""
