"""Tests of the check of a configuration."""
