"""Front end for the users' platform: its settings, documents, store and protocols.

This package only translates: the systems make the decisions, and they don't know
the platform's names for tables, fields and headers.
"""
