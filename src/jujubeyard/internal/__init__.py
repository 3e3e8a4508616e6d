"""Helpers that are not public."""
