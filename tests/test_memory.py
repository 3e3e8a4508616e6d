"""Tests of the bound on the memory for all peers."""

import asyncio

import pytest

from jujubeyard import bodies
from jujubeyard import memory


class FakePeer:
    def __init__(self, held_bytes):
        self.held_bytes = held_bytes

    def close(self):
        self.held_bytes = 0


@pytest.mark.parametrize(
    ("held", "needed", "is_admitted"),
    [(0, 75, True), (0, 76, False), (50, 25, True), (50, 26, False)],
)
def test_new_calls_leave_the_reserve_free(held, needed, is_admitted):
    refusals = []
    budget = memory.MemoryBudget(100, lambda: refusals.append(1))
    with budget.hold(held):
        holding = budget.admit(needed)
        assert (holding is not None) is is_admitted
        assert len(refusals) == (not is_admitted)
        assert budget.held_bytes == held + needed * is_admitted


async def test_reading_stops_until_there_is_room():
    budget = memory.MemoryBudget(100)
    other = budget.hold(90)
    reader = budget.hold()
    growing = asyncio.create_task(reader.grow(20))
    await asyncio.sleep(memory.STALL_SECONDS / 5)
    assert not growing.done()
    other.release()
    await growing
    assert budget.held_bytes == 20


@pytest.mark.parametrize(
    ("peer_bytes", "is_peer_closed"), [(60, True), (30, False)]
)
async def test_peer_that_holds_most_is_closed(peer_bytes, is_peer_closed):
    budget = memory.MemoryBudget(100)
    peer = FakePeer(peer_bytes)
    budget.add_peer(peer)
    reader = budget.hold(110 - peer_bytes)
    if is_peer_closed:
        await reader.grow(1)
    else:
        with pytest.raises(bodies.BuffersFullError):
            await reader.grow(1)
    assert (peer.held_bytes == 0) is is_peer_closed
    assert budget.held_bytes <= 75
