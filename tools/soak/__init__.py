"""Runs a fleet of real processes under faults drawn from a seed, and judges it."""
