"""Entities as rows: one module per entity."""
