"""Proxy fleet that routes requests around backend servers with gray failures."""

__version__ = "0.1.0"
