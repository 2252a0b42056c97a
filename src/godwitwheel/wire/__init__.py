"""Messages between processes, and the HTTP server and client that carry them."""
