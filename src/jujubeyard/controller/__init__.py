"""Plans who holds what, witnesses leases, spreads configuration."""
