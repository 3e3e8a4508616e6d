"""Tests of the listings of target processes."""

import asyncio
import random

import pytest

from platform_standins import store
from platform_standins import target
from platform_standins import target_process
from soak import targets

HEARTBEAT_SECONDS = 0.04
LIMIT_SECONDS = targets.MISSED_HEARTBEATS_UNTIL_REMOVAL * HEARTBEAT_SECONDS
KEY = "listing"
WRITE = target_process.ListingWrite(KEY, b"t1")
REMOVAL = target_process.ListingWrite(KEY, None)


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(targets, "time", clock)
    monkeypatch.setattr(target, "HEARTBEAT_SECONDS", HEARTBEAT_SECONDS)
    return clock


@pytest.fixture
def kv_store():
    return store.Store(random.Random(1))


@pytest.fixture
async def listings(clock, kv_store):
    listings = targets.Listings(kv_store)
    task = asyncio.create_task(listings.run())
    yield listings
    task.cancel()


async def _pass(clock, seconds):
    """Lets time pass, and the listings notice it."""
    clock.now += seconds
    await asyncio.sleep(HEARTBEAT_SECONDS)


def _set_down(kv_store, is_down):
    mode = store.Mode.SILENT if is_down else store.Mode.NORMAL
    kv_store.faults.mode = mode


async def test_listing_is_removed_after_three_missed_heartbeats(
    listings, clock, kv_store
):
    listings.apply(WRITE)
    await _pass(clock, 0.9 * LIMIT_SECONDS)
    assert kv_store.value(KEY) == b"t1"
    await _pass(clock, 0.2 * LIMIT_SECONDS)
    assert kv_store.value(KEY) == b""


async def test_heartbeat_keeps_a_listing(listings, clock, kv_store):
    for _ in range(5):
        listings.apply(WRITE)
        await _pass(clock, 0.9 * LIMIT_SECONDS)
        assert kv_store.value(KEY) == b"t1"


async def test_removed_listing_is_gone_at_once_and_can_return(
    listings, clock, kv_store
):
    listings.apply(WRITE)
    listings.apply(REMOVAL)
    assert kv_store.value(KEY) == b""
    listings.apply(WRITE)
    await _pass(clock, 0.9 * LIMIT_SECONDS)
    assert kv_store.value(KEY) == b"t1"


async def test_nothing_changes_while_the_store_is_down(
    listings, clock, kv_store
):
    listings.apply(WRITE)
    _set_down(kv_store, True)
    listings.apply(target_process.ListingWrite(KEY, b"changed"))
    listings.apply(REMOVAL)
    await _pass(clock, 2 * LIMIT_SECONDS)
    assert kv_store.value(KEY) == b"t1"


async def test_listing_of_a_target_that_is_up_outlasts_an_outage(
    listings, clock, kv_store
):
    listings.apply(WRITE)
    _set_down(kv_store, True)
    for _ in range(3):
        await _pass(clock, 0.9 * LIMIT_SECONDS)
        listings.apply(WRITE)
    _set_down(kv_store, False)
    await _pass(clock, 0.0)
    assert kv_store.value(KEY) == b"t1"


async def test_listing_of_a_crashed_target_goes_after_an_outage(
    listings, clock, kv_store
):
    listings.apply(WRITE)
    _set_down(kv_store, True)
    await _pass(clock, 2 * LIMIT_SECONDS)
    _set_down(kv_store, False)
    await _pass(clock, 0.0)
    assert kv_store.value(KEY) == b""
