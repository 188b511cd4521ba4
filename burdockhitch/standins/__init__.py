"""Small stand-ins for the platform and backend servers, for tests and demos."""
