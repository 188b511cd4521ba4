"""Life cycles: Automat state machines whose state is a column of a table row."""
