"""Receives callers' HTTP requests and routes them to gates."""
