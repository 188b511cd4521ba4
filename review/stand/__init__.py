"""Stand-ins for clients, servers and the store, and a small fleet on loopback."""
