"""Randomized soak tests: node processes under injected faults."""
