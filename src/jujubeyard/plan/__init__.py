"""The plan: which gate holds a target, which target owns a shard."""
