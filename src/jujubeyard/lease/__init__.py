"""Leases of gates, promised by witnesses."""
