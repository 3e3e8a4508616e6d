"""Leadership by a lease."""

import pytest

from jujubeyard import clock
from jujubeyard.ownership import leader
from jujubeyard.store import ports
from tests.utils import fakes


class Clock:
    def __init__(self):
        self.now = 50.0


@pytest.fixture
def moved(monkeypatch):
    made = Clock()
    monkeypatch.setattr(clock, "boottime", lambda: made.now)
    return made


def _leadership(store, address="10.0.0.1:7"):
    return leader.Leadership(store, "own/", address, fakes.RecordingJournal())


async def test_one_of_two_wins(moved):
    store = fakes.FakeStore()
    first, second = _leadership(store), _leadership(store)
    assert await first._stand()
    assert not await second._stand()
    assert first.is_certain() and not second.is_certain()


async def test_the_lead_is_certain_for_less_than_the_lease(moved):
    held = _leadership(fakes.FakeStore())
    await held._stand()
    moved.now += leader.LEASE_SECONDS - 0.2
    assert held.is_certain()
    moved.now += 0.2
    assert not held.is_certain()


@pytest.mark.parametrize(
    ("failure", "leads"),
    [("down", True), ("ended", False)],
)
async def test_renewals_that_fail(moved, failure, leads):
    store = fakes.FakeStore()
    held = _leadership(store)
    await held._stand()
    if failure == "down":
        store.is_down = True
    else:
        store.leases.clear()
    await held._renew()
    assert bool(held.term) is leads
    assert held.renewal_failed is leads


async def test_a_renewal_counts_from_its_sending(moved):
    store = fakes.FakeStore()
    held = _leadership(store)
    await held._stand()
    answer = store.renew_lease

    async def late(lease):
        moved.now += 1.0
        return await answer(lease)

    store.renew_lease = late
    await held._renew()
    moved.now += leader.LEASE_SECONDS - 1.0
    assert not held.is_certain()


async def test_an_election_without_an_answer_is_undone(moved):
    store = fakes.FakeStore()
    store.writes_to_lose = 1
    held = _leadership(store)
    assert not await held._stand()
    assert "own/leader" not in store.items
    assert await _leadership(store)._stand()


async def test_another_leader_ends_the_term(moved):
    store = fakes.FakeStore()
    held = _leadership(store)
    await held._stand()
    later = held.term + 5
    held.observe(ports.Item("own/leader", b"10.0.0.2:7", later, later))
    assert not held.term
    assert held.address == "10.0.0.2:7"


async def test_old_news_do_not_end_the_term(moved):
    store = fakes.FakeStore()
    held = _leadership(store)
    await held._stand()
    old = held.term - 1
    held.observe(ports.Item("own/leader", None, old, 0))
    assert held.is_certain()


async def test_fences_are_above_those_of_former_terms(moved):
    store = fakes.FakeStore()
    first = _leadership(store)
    await first._stand()
    drawn = [first.draw_fence() for _ in range(3)]
    await first.resign()
    second = _leadership(store)
    await second._stand()
    assert drawn == sorted(set(drawn))
    assert second.draw_fence() > drawn[-1]


@pytest.mark.parametrize(("is_down", "leads"), [(False, False), (True, True)])
async def test_the_lead_is_given_up_only_if_another_can_take_it(
    moved, is_down, leads
):
    store = fakes.FakeStore()
    held = _leadership(store)
    await held._stand()
    store.is_down = is_down
    await held.resign()
    assert bool(held.term) is leads
    assert held.renewal_failed is is_down
    assert bool(store.items) is leads
