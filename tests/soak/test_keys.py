"""Keys of the stand-in of a target."""

import time

import pytest

from platform_standins import keys


class Observer:
    def __init__(self):
        self.conflicts = []

    def note_conflict(self, detail):
        self.conflicts.append(detail)


class Pair:
    """Two targets that watch each other."""

    def __init__(self):
        self.observer = Observer()
        self.one = keys.Keys("t1", self.observer, lambda: [self.two])
        self.two = keys.Keys("t2", self.observer, lambda: [self.one])


def _order(fence, first=0, last=127, hold="1000ms"):
    return {"from": first, "target": last, "fence": fence, "hold_time": hold}


def _grant(target, *args, **fields):
    return target.grant(_order(*args, **fields), time.monotonic())


@pytest.fixture
def pair():
    return Pair()


@pytest.mark.parametrize(
    ("orders", "statuses", "held"),
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
def test_fences_decide(pair, orders, statuses, held):
    results = []
    for kind, fence in orders:
        if kind == "grant":
            results.append(_grant(pair.one, fence))
        else:
            pair.one.release(_order(fence))
            results.append(None)
    assert results == statuses
    assert pair.one.holds(0) is held
    assert not pair.observer.conflicts


def test_a_part_can_be_released(pair):
    _grant(pair.one, 5)
    pair.one.release(_order(6, first=64))
    assert pair.one.holds(0) and not pair.one.holds(1)


def test_a_grant_s_time_runs_from_its_arrival(pair):
    arrived_at = time.monotonic() - 2.0
    pair.one.grant(_order(5), arrived_at)
    assert not pair.one.holds(0)


def test_a_call_beside_another_holder_is_reported(pair):
    _grant(pair.one, 5)
    _grant(pair.two, 6)
    assert not pair.observer.conflicts
    pair.two.check_sole_owner(0)
    assert len(pair.observer.conflicts) == 1


def test_a_fence_that_does_not_grow_is_reported(pair):
    _grant(pair.one, 6, last=63)
    _grant(pair.two, 5, last=63)
    assert len(pair.observer.conflicts) == 1


def test_orders_that_divide_a_bucket_are_errors(pair):
    with pytest.raises(ValueError, match="divide"):
        _grant(pair.one, 5, last=70)
