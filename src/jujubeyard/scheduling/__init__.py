"""Decisions under load: room at targets, who gets it, what calls cost."""
