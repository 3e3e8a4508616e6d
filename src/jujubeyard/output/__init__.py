"""Output for people and for scripts."""
