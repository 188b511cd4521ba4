"""Tables of entities: row types and functions that make empty tables."""
