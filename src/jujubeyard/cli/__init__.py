"""Command line for operators of a cluster."""
