"""Secondary programs."""
