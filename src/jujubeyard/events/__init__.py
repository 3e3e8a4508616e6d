"""Records, merges and checks the events of all processes."""
