"""Plans ownership, witnesses leases and distributes configuration."""
