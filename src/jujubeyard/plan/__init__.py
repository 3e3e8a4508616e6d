"""Plans, which assign targets to gates and shards to targets."""
