"""Multiplexed, batched links between the system's processes."""
