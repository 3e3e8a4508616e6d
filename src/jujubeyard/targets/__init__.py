"""Targets as the platform lists them and as their answers show them."""
