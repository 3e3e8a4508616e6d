"""Limits, queues and duplicate detection of a gate."""
