"""Life cycles: Automat machines whose state is a column of a table."""
