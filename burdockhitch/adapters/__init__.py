"""I/O adapters: they decode network input into events and execute commands."""
