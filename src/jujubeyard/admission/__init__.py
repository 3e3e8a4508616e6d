"""Concurrency limits, queues and duplicate detection of a gate."""
