"""A bounded load generator for loopback."""
