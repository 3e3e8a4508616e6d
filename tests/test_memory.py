"""Tests of the bound on the memory for all peers."""

import asyncio

import pytest

from jujubeyard import bodies
from jujubeyard import memory


class FakePeer:
    def __init__(self, held_bytes, stalled_seconds=0.0):
        self.held_bytes = held_bytes
        self._stalled_seconds = stalled_seconds

    def stalled_seconds(self):
        return self._stalled_seconds

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


@pytest.mark.parametrize(
    ("stalled", "needed", "held", "is_admitted"),
    [
        pytest.param((0.0, 0.2), 10, (40, 40), False, id="both are read"),
        pytest.param((0.0, 9.0), 10, (40, 0), True, id="one is not"),
        pytest.param((1.0, 9.0), 10, (40, 0), True, id="the longest first"),
        pytest.param((1.0, 9.0), 40, (0, 0), True, id="both at need"),
    ],
)
def test_peers_that_take_nothing_are_closed_before_a_call_is_refused(
    stalled, needed, held, is_admitted
):
    budget = memory.MemoryBudget(100)
    peers = [FakePeer(40, seconds) for seconds in stalled]
    for peer in peers:
        budget.add_peer(peer)
    assert (budget.admit(needed) is not None) is is_admitted
    assert tuple(peer.held_bytes for peer in peers) == held
