"""Stand-ins for external systems, used in development and tests."""
