"""The program on every VM that routes calls to targets."""
