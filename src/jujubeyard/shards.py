"""Maps keys to shards by a stable hash."""

import xxhash


def shard_of(service: str, key: str, shard_count: int) -> int:
    """Returns the shard that a key belongs to.

    Args:
        service: Name of the service. It is part of the hash input, so that the
            same key maps to unrelated shards in different services.
        key: The key exactly as the caller sent it.
        shard_count: Number of shards of the service.

    Returns:
        Index of the shard, from 0 to shard_count - 1.
    """
    digest = xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())
    return digest % shard_count
