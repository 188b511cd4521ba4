"""Stand-ins for the platform, its row store and backend servers, for tests."""
