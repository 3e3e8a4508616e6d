"""Which target owns which keys, decided and carried out by one leader."""
