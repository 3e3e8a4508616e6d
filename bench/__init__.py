"""Benchmarks; not part of the tests."""
