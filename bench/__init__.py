"""Benchmarks; they are not run by the test suite."""
