"""Store interface, clients of the store and the records kept in it."""
