"""Tests of the keys that a stand-in target holds."""

import time

import pytest

from platform_standins import keys


class FakeObserver:
    """Collects the reported conflicts."""

    def __init__(self):
        self.conflicts = []

    def record_conflict(self, detail):
        self.conflicts.append(detail)


class Pair:
    """The keys of two targets that check each other for conflicts."""

    def __init__(self):
        self.observer = FakeObserver()
        self.one = keys.HeldKeys("t1", self.observer, lambda: [self.two])
        self.two = keys.HeldKeys("t2", self.observer, lambda: [self.one])


def _make_request(fence, first=0, last=127, hold="1000ms"):
    return {"from": first, "target": last, "fence": fence, "hold_time": hold}


def _grant(target_keys, *args, **fields):
    return target_keys.grant(_make_request(*args, **fields), time.monotonic())


@pytest.fixture
def pair():
    return Pair()


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
    pair, requests, statuses, is_held
):
    results = []
    for kind, fence in requests:
        if kind == "grant":
            results.append(_grant(pair.one, fence))
        else:
            pair.one.release(_make_request(fence))
            results.append(None)
    assert results == statuses
    assert pair.one.holds(0) is is_held
    assert not pair.observer.conflicts


def test_part_of_a_grant_can_be_released(pair):
    _grant(pair.one, 5)
    pair.one.release(_make_request(6, first=64))
    assert pair.one.holds(0) and not pair.one.holds(1)


def test_hold_time_starts_when_the_grant_arrives(pair):
    arrived_at = time.monotonic() - 2.0
    pair.one.grant(_make_request(5), arrived_at)
    assert not pair.one.holds(0)


def test_call_on_a_key_that_another_target_holds_is_reported(pair):
    _grant(pair.one, 5)
    _grant(pair.two, 6)
    assert not pair.observer.conflicts
    pair.two.check_sole_owner(0)
    assert len(pair.observer.conflicts) == 1


def test_fence_that_does_not_increase_is_reported(pair):
    _grant(pair.one, 6, last=63)
    _grant(pair.two, 5, last=63)
    assert len(pair.observer.conflicts) == 1


def test_grant_of_part_of_a_bucket_is_an_error(pair):
    with pytest.raises(ValueError, match="divide"):
        _grant(pair.one, 5, last=70)
