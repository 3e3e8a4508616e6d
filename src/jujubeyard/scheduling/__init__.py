"""Decisions under load: room at targets, and who gets it and when."""
