"""Assignment of key ranges to targets, coordinated by an elected leader."""
