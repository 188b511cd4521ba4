"""The users' platform: its settings, documents, store and wire, decoded once.

Nothing here decides anything, and nothing outside knows the platform's names.
"""
