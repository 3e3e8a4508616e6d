"""Logs, and output of commands as tables or JSON."""
