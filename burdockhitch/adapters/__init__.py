"""Front ends: they turn bytes into events, and commands into bytes."""
