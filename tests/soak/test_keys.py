"""Tests of the keys that a stand-in target holds."""

import time

import pytest

from platform_standins import keys
from platform_standins import records


class FakeRecorder:
    """Collects the events of a target."""

    def __init__(self):
        self.events = []

    def add(self, event):
        self.events.append(event)


def _make_request(fence, first=0, last=127, hold="1000ms"):
    return {"from": first, "target": last, "fence": fence, "hold_time": hold}


def _grant(target_keys, *args, **fields):
    return target_keys.grant(_make_request(*args, **fields), time.monotonic())


@pytest.fixture
def recorder():
    return FakeRecorder()


@pytest.fixture
def held_keys(recorder):
    return keys.HeldKeys(recorder)


@pytest.mark.parametrize(
    ("requests", "statuses", "is_held"),
    [
        ([("grant", 5)], [200], True),
        ([("grant", 5), ("grant", 5)], [200, 200], True),
        ([("grant", 5), ("grant", 4)], [200, 409], True),
        ([("grant", 5), ("release", 6)], [200, None], False),
        ([("grant", 5), ("release", 6), ("grant", 5)], [200, None, 409], False),
        ([("grant", 5), ("release", 6), ("grant", 7)], [200, None, 200], True),
        ([("release", 6), ("grant", 5)], [None, 409], False),
        ([("grant", 5), ("release", 4)], [200, None], True),
    ],
)
def test_highest_fence_decides_whether_a_key_is_held(
    held_keys, requests, statuses, is_held
):
    results = []
    for kind, fence in requests:
        if kind == "grant":
            results.append(_grant(held_keys, fence))
        else:
            held_keys.release(_make_request(fence))
            results.append(None)
    assert results == statuses
    assert held_keys.holds(0) is is_held


def test_part_of_a_grant_can_be_released(held_keys):
    _grant(held_keys, 5)
    held_keys.release(_make_request(6, first=64))
    assert held_keys.holds(0) and not held_keys.holds(1)


def test_hold_time_starts_when_the_grant_arrives(held_keys):
    arrived_at = time.monotonic() - 2.0
    held_keys.grant(_make_request(5), arrived_at)
    assert not held_keys.holds(0)


def test_accepted_grants_and_releases_are_recorded(held_keys, recorder):
    arrived_at = time.monotonic()
    held_keys.grant(_make_request(5, hold="980ms"), arrived_at)
    held_keys.grant(_make_request(4), arrived_at)
    held_keys.release(_make_request(6, first=64))
    granted, released = recorder.events
    # The hold time ends later on the slowest clock.
    assert granted == records.Granted(
        granted.at, 0, 1, 5, pytest.approx(arrived_at + 1.0)
    )
    assert released == records.Released(released.at, 1, 1, 6)
    assert arrived_at <= granted.at <= released.at <= time.monotonic()


def test_record_has_the_expiry_that_the_target_keeps(held_keys, recorder):
    _grant(held_keys, 5)
    assert recorder.events[0].until == held_keys.held_until(0)


def test_rejected_grant_is_not_recorded(held_keys, recorder):
    held_keys.release(_make_request(6))
    _grant(held_keys, 5)
    assert [type(event) for event in recorder.events] == [records.Released]


def test_grant_of_part_of_a_bucket_is_an_error(held_keys):
    with pytest.raises(ValueError, match="divide"):
        _grant(held_keys, 5, last=70)
