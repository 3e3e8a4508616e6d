"""Scripts for development: a cluster of processes, the demo, proofs."""
