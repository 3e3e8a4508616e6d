"""Decisions under load: room at targets, pacing, refusals."""
