"""Multiplexed, batched links between the processes of a cluster."""
