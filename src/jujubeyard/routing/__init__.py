"""Routing of calls: configuration, route lookup, target selection."""
