"""Stand-ins of the users' platform, in the soak's own process."""
