"""HTTP/1.1 as a server and as a client."""
