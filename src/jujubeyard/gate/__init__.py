"""The only sender of calls to the targets that it holds."""
