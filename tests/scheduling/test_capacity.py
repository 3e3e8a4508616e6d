"""What a node learns from refusals, resets and reports of a target."""

import random

import pytest

from jujubeyard.scheduling import capacity
from jujubeyard.scheduling import pacing
from jujubeyard.scheduling import queue_limits
from jujubeyard.scheduling import refusals
from jujubeyard.scheduling import thinning

SLOTS = 4


def _room(target_id="t1", limit=None):
    return capacity.Capacity(target_id, limit or queue_limits.QueueLimit())


@pytest.mark.parametrize(
    ("running", "waiting", "cause", "limit"),
    [
        pytest.param(2, 0, capacity.RefusalCause.SHEDDING, None, id="idle"),
        pytest.param(4, 1, capacity.RefusalCause.SHEDDING, None, id="busy"),
        pytest.param(4, 16, capacity.RefusalCause.FULL, 16.0, id="full"),
    ],
)
def test_a_refusal_shows_a_limit_only_if_the_queue_is_long(
    running, waiting, cause, limit
):
    room = _room()
    assert room.observe_refusal(running, waiting, SLOTS, 10.0) is cause
    assert room.limit.current(10.0) == limit
    assert room.refusal.is_refusing(10.0) == (limit is None)


@pytest.mark.parametrize("slots", [SLOTS, 10**9])
def test_a_refusal_with_a_nonsense_load_shows_no_limit(slots):
    room = _room()
    room.listed_slots = SLOTS
    cause = room.observe_refusal(slots, 10**9, slots, 10.0)
    assert cause is capacity.RefusalCause.SHEDDING
    assert room.limit.current(10.0) is None


def test_a_target_isn_t_full_while_others_hold_longer_queues():
    limit = queue_limits.QueueLimit()
    for name in ("t2", "t3"):
        _room(name, limit).observe_queue(12, SLOTS, 9.0, 9.0)
    cause = _room("t1", limit).observe_refusal(4, 8, SLOTS, 10.0)
    assert cause is capacity.RefusalCause.SHEDDING


def _reset(room, at, answered_at, waiting=14):
    """Resets a connection of a target, which may answer later."""
    room.observe_queue(waiting, SLOTS, at - 0.1, at - 0.1)
    room.observe_reset(at)
    if answered_at is not None:
        room.observe_queue(5, SLOTS, answered_at, answered_at)


@pytest.mark.parametrize("names", [("t1", "t1"), ("t1", "t2")])
@pytest.mark.parametrize(
    ("answered_after", "limit"),
    [
        pytest.param(0.5, 14.0, id="alive"),
        pytest.param(None, None, id="dead"),
        pytest.param(10.0, None, id="back much later"),
    ],
)
def test_resets_show_a_limit_only_if_the_target_is_alive(
    names, answered_after, limit
):
    shared = queue_limits.QueueLimit()
    for name, at in zip(names, (10.0, 12.0), strict=True):
        answered_at = answered_after and at + answered_after
        _reset(_room(name, shared), at, answered_at)
    assert shared.current(22.0) == limit


@pytest.mark.parametrize(
    ("resets", "is_shown"),
    [
        pytest.param([("t1", 10.0)], False, id="one"),
        pytest.param([("t1", 10.0), ("t2", 10.05)], False, id="one cut"),
        pytest.param([("t1", 10.0), ("t1", 25.0)], False, id="far apart"),
        pytest.param([("t1", 10.0), ("t1", 11.0)], True, id="repeated"),
        pytest.param([("t1", 10.0), ("t2", 11.0)], True, id="two targets"),
    ],
)
def test_a_broken_connection_alone_shows_no_limit(resets, is_shown):
    limit = queue_limits.QueueLimit()
    for name, at in resets:
        _reset(_room(name, limit), at, at + 0.3)
    assert (limit.current(26.0) is not None) == is_shown


def test_one_reset_changes_a_known_limit():
    limit = queue_limits.QueueLimit()
    limit.observe_full(16, 9.0)
    _reset(_room("t1", limit), 10.0, 10.3)
    assert limit.current(10.3) == 15.0


@pytest.mark.parametrize("waiting", [0, SLOTS, 2 * SLOTS - 1])
def test_a_reset_with_a_short_queue_shows_no_limit(waiting):
    room = _room()
    for at in (10.0, 11.0):
        _reset(room, at, at + 0.1, waiting)
    assert room.limit.current(11.1) is None


def test_a_limit_rises_at_once_to_what_two_targets_hold():
    limit = queue_limits.QueueLimit()
    limit.observe_full(5, 100.0)
    _room("t2", limit).observe_queue(90, SLOTS, 100.1, 100.1)
    assert limit.current(100.1) == 5.0
    _room("t3", limit).observe_queue(12, SLOTS, 100.2, 100.2)
    assert limit.current(100.2) == 12.0


def test_a_limit_rises_slowly_and_is_forgotten():
    limit = queue_limits.QueueLimit()
    limit.observe_full(16, 100.0)
    assert limit.current(100.0 + 0.9 * queue_limits.RAISE_SECONDS) == 16.0
    assert limit.current(100.0 + queue_limits.RAISE_SECONDS) == 17.0
    assert limit.current(101.0 + queue_limits.FORGET_SECONDS) is None


def test_a_refusing_target_gets_calls_again_after_seconds():
    level = refusals.RefusalLevel()
    for step in range(5):
        level.observe_refusal(10.0 + 0.1 * step)
    assert level.is_refusing(11.0)
    assert not level.is_refusing(18.0)


def test_a_shared_level_is_applied_with_its_age():
    level = refusals.RefusalLevel()
    level.merge(0.8, 10.0, 10.0 + refusals.HALF_LIFE_SECONDS)
    assert level.current(10.0 + refusals.HALF_LIFE_SECONDS) == pytest.approx(
        0.4
    )


@pytest.mark.parametrize(
    ("levels", "kept"),
    [
        pytest.param([0.0, 0.0, 0.8], {0, 1}, id="others carry the calls"),
        pytest.param([0.0, 1.0, 1.0], {0}, id="the refusing get few"),
        pytest.param([1.0, 1.0, 1.0], {0, 1, 2}, id="all refuse"),
        pytest.param([], set(), id="no target"),
    ],
)
def test_targets_that_accept_calls_are_preferred(levels, kept):
    rng = random.Random(1)
    candidates = list(range(len(levels)))
    preferred = refusals.prefer_accepting(candidates, levels, rng)
    assert set(preferred) == kept


def test_a_share_recovers_when_reports_stop():
    controller = pacing.ShareController()
    controller.set_level(pacing.QueueLevel(6.0, 0.1), 0.0)
    for step in range(1, 20):
        controller.observe_queue(16, 0.4 * step, 0.4 * step)
    assert controller.share(8.0) < 0.2
    assert controller.share(20.0) > 0.9


def test_the_first_call_for_a_full_target_is_paced_by_the_latest_report():
    controller = pacing.ShareController()
    for step in range(1, 5):
        controller.observe_queue(16, 0.1 * step, 0.1 * step)
    assert controller.share(0.5) == 1.0
    controller.set_level(pacing.QueueLevel(6.0, 0.1), 16.0)
    assert controller.share(0.5) < 0.2


def test_a_waiting_call_earns_room_as_often_as_calls_came():
    credit = thinning.Credit(0.0, 0.0, 0.0)
    for step in range(1, 60):
        credit.earn(0.0, 0.1 * step)
    tries = 0
    while not credit.spend():
        tries += 1
        credit.earn_waiting(0.25, 5.9 + 0.05 * tries)
    assert 0.3 <= 0.05 * tries <= 0.5
