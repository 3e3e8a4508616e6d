"""Adapter that translates between the platform's protocols and the router."""
