"""The proxy process: serves callers and routes statements to targets."""
