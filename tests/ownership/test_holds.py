"""Holds of shards while grants are in progress."""

import asyncio

from jujubeyard.ownership import holds
from jujubeyard.ownership import table

OWNER = table.Owner("a", 1, "a:1")
WHOLE = table.Shard(0, 127, OWNER, 1, "")
PARTS = (table.Shard(0, 63, OWNER, 1, ""), table.Shard(64, 127, OWNER, 1, ""))


async def test_parts_of_a_split_shard_wait_for_the_grant_of_the_whole():
    tracker = holds.HoldTracker(10.0)
    tracker.load([WHOLE], won_at=0.0)
    may_end = asyncio.Event()
    grant = asyncio.create_task(may_end.wait())
    tracker.get(0).grant_task = grant
    tracker.update_shards(PARTS)
    assert [tracker.get(part.first).is_sending for part in PARTS] == [True] * 2
    may_end.set()
    await tracker.get(64).wait_for_grant()
    assert not tracker.get(64).is_sending
