"""In-process stand-ins for the platform's store and targets, for soak tests."""
