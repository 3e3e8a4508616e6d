"""Adapter to the platform of the users: translation and nothing else."""
