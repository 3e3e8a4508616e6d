"""The targets that the platform lists and their estimated load."""
