"""Makes plans, acts as a witness of leases and distributes configurations."""
