"""A router that sends each call to the one target that owns its key."""

__version__ = "0.1.0"
