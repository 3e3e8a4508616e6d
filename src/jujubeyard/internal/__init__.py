"""Internal helpers; not part of the public API."""
