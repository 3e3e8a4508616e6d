"""The router process that runs on each VM and forwards calls to targets."""
