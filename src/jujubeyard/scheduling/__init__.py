"""Decisions on when and in which order calls get room at targets."""
