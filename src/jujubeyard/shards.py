"""Maps keys to shards by a stable hash."""

import xxhash


def shard_of(service: str, key: str, shard_count: int) -> int:
    """Returns the shard of a key.

    Args:
        service: Name of the service; it seeds the hash, so that equal keys of
            two services land in unrelated shards.
        key: The key as the caller gave it.
        shard_count: Number of shards of the service.

    Returns:
        A number from 0 to shard_count - 1.
    """
    digest = xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())
    return digest % shard_count
