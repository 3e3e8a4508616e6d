"""Leases of gates, which are granted by a majority of witnesses."""
