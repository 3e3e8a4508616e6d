"""The operators' manifest: validation and read-only tables."""
