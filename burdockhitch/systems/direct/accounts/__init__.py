"""Client accounts: which one a request belongs to, and when a key stops to count."""
