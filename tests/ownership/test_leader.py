"""Leader election with a lease in the store."""

import asyncio

import pytest

from jujubeyard import clock
from jujubeyard.ownership import leader
from jujubeyard.store import interface
from tests.utils import era_fakes
from tests.utils import fakes


class FakeClock:
    def __init__(self):
        self.now = 50.0


@pytest.fixture
def fake_clock(monkeypatch):
    fake = FakeClock()
    monkeypatch.setattr(clock, "boottime", lambda: fake.now)
    return fake


def _leadership(store, address="10.0.0.1:7"):
    return era_fakes.make_leadership(store, address, fakes.RecordingJournal())


async def test_only_one_of_two_nodes_is_elected(fake_clock):
    store = fakes.FakeStore()
    first, second = _leadership(store), _leadership(store)
    assert await first._campaign()
    assert not await second._campaign()
    assert first.is_leader() and not second.is_leader()


async def test_leadership_ends_before_lease_expires(fake_clock):
    leadership = _leadership(fakes.FakeStore())
    await leadership._campaign()
    fake_clock.now += leader.LEASE_SECONDS - 0.2
    assert leadership.is_leader()
    fake_clock.now += 0.2
    assert not leadership.is_leader()


@pytest.mark.parametrize(
    ("failure", "leads"),
    [("down", True), ("ended", False)],
)
async def test_failed_renewal(fake_clock, failure, leads):
    store = fakes.FakeStore()
    leadership = _leadership(store)
    await leadership._campaign()
    if failure == "down":
        store.is_down = True
    else:
        store.leases.clear()
    await leadership._renew()
    assert bool(leadership.term) is leads
    assert leadership.renewal_failed is leads


async def test_renewed_lease_counts_from_sending_of_request(fake_clock):
    store = fakes.FakeStore()
    leadership = _leadership(store)
    await leadership._campaign()
    renew_lease = store.renew_lease

    async def renew_late(lease):
        fake_clock.now += 1.0
        return await renew_lease(lease)

    store.renew_lease = renew_late
    await leadership._renew()
    fake_clock.now += leader.LEASE_SECONDS - 1.0
    assert not leadership.is_leader()


async def test_election_without_response_is_undone(fake_clock):
    store = fakes.FakeStore()
    store.writes_to_lose = 1
    leadership = _leadership(store)
    assert not await leadership._campaign()
    assert "own/leader" not in store.items
    assert await _leadership(store)._campaign()


async def test_election_of_another_node_ends_term(fake_clock):
    store = fakes.FakeStore()
    leadership = _leadership(store)
    await leadership._campaign()
    new_revision = leadership.term + 5
    leadership.observe(
        interface.Item("own/leader", b"10.0.0.2:7", new_revision, new_revision)
    )
    assert not leadership.term
    assert leadership.address == "10.0.0.2:7"


async def test_outdated_leader_change_does_not_end_term(fake_clock):
    store = fakes.FakeStore()
    leadership = _leadership(store)
    await leadership._campaign()
    old_revision = leadership.term - 1
    leadership.observe(interface.Item("own/leader", None, old_revision, 0))
    assert leadership.is_leader()


async def test_fences_are_higher_than_in_earlier_terms(fake_clock):
    store = fakes.FakeStore()
    first = _leadership(store)
    await first._campaign()
    fences = [first.allocate_fence() for _ in range(3)]
    await first.resign()
    second = _leadership(store)
    await second._campaign()
    assert fences == sorted(set(fences))
    assert second.allocate_fence() > fences[-1]


@pytest.mark.parametrize(("is_down", "leads"), [(False, False), (True, True)])
async def test_resigns_only_if_store_is_available(fake_clock, is_down, leads):
    store = fakes.FakeStore()
    leadership = _leadership(store)
    await leadership._campaign()
    store.is_down = is_down
    await leadership.resign()
    assert bool(leadership.term) is leads
    assert leadership.renewal_failed is is_down
    assert bool(store.items) is leads


async def test_term_ends_before_its_fences_run_out(fake_clock, monkeypatch):
    """Fences beyond those of a term could reach those of the next."""
    monkeypatch.setattr(leader, "MAX_FENCES_USED", 3)
    leadership = _leadership(fakes.FakeStore())
    await leadership._campaign()
    running = asyncio.create_task(leadership.run())
    for is_ended in (False, False, False, True):
        await asyncio.sleep(0.02)
        assert bool(leadership.term) is not is_ended
        leadership.allocate_fence()
        await asyncio.sleep(leader.RENEW_SECONDS)
    running.cancel()
