"""Small stand-ins of outside systems, for development and tests."""
