"""Tests of what the leader learns of demand and of the speed of targets."""

import dataclasses
import random

import pytest

from jujubeyard.node import placement_inputs
from jujubeyard.ownership import demand
from jujubeyard.ownership import planner
from jujubeyard.ownership import table

SLOTS = 4
USUAL_SECONDS = 0.4


def _play(estimate, slowness, rng, start, seconds, rate=4.0):
    """Reports calls with heavy tails at targets; returns the time of the end.

    Args:
        estimate: Gets a report each 0.4 s.
        slowness: By target, the factor by which its work takes longer.
        rng: Source of the calls.
        start: Time of the first report, in seconds.
        seconds: Time that is played.
        rate: Calls per second at each target.
    """
    now = start
    while now < start + seconds:
        now += 0.4
        work = {}
        for target_id, factor in slowness.items():
            count = sum(rng.random() < rate * 0.04 for _ in range(10))
            noise = 3.0 if rng.random() < 0.2 else 1.0
            total = sum(
                USUAL_SECONDS * factor * noise * rng.lognormvariate(-0.1, 0.4)
                for _ in range(count)
            )
            if count:
                work[target_id] = (count, total)
        estimate.add(demand.Report("desk", {1: 9}, work), now)
    return now


def _relative_slowness(estimate, slowness):
    mean = estimate.mean_work_seconds()
    return {t: estimate.measured_work(t)[1] / mean for t in slowness}


@pytest.mark.parametrize("seed", range(5))
def test_no_owner_is_overloaded_by_what_few_calls_seem_to_cost(seed):
    rng = random.Random(seed)
    slowness = {f"t{i}": (0.6, 1.0, 1.4)[i % 3] for i in range(78)}
    estimate = demand.DemandEstimate()
    inputs = placement_inputs.PlacementInputs(None)
    inputs._estimates["desk"] = estimate
    owners = {t: table.Owner(t, 1, t) for t in slowness}
    capacity = {t: SLOTS / USUAL_SECONDS / s for t, s in slowness.items()}
    start = [planner.Candidate(o, SLOTS, SLOTS) for o in owners.values()]
    shards = list(planner.make_initial_shards(start, 1))
    rates = [(1 + abs(i - 99) / 8.0) ** -0.8 for i in range(len(shards))]
    total = 0.45 * sum(capacity.values())
    rates = [rate * total / sum(rates) for rate in rates]
    now = 0.0
    for _ in range(40):
        now = _play(estimate, slowness, rng, now, 0.4)
        candidates = []
        for target_id, owner in owners.items():
            count, seconds = estimate.measured_work(target_id)
            mean = estimate.mean_work_seconds()
            prior = placement_inputs.PRIOR_SAMPLES
            per_call = (count * seconds + prior * mean) / (count + prior)
            candidates.append(planner.Candidate(owner, SLOTS / per_call, SLOTS))
        for move in planner.rebalance(shards, rates, candidates):
            shard = shards[move.index]
            shards[move.index] = dataclasses.replace(shard, owner=move.to)
    noise = 1.4
    load = dict.fromkeys(slowness, 0.0)
    for shard, rate in zip(shards, rates, strict=True):
        load[shard.owner.target_id] += rate
    assert max(noise * load[t] / capacity[t] for t in load) < 1.0


def test_speed_is_learned_from_a_long_time_of_heavy_tails():
    slowness = {f"t{i}": (0.6, 1.0, 1.4)[i % 3] for i in range(30)}
    estimate = demand.DemandEstimate()
    _play(estimate, slowness, random.Random(1), 0.0, 30.0)
    learned = _relative_slowness(estimate, slowness)
    errors = sorted(abs(learned[t] / slowness[t] - 1.0) for t in slowness)
    assert errors[len(errors) * 9 // 10] < 0.25


def test_target_that_turns_slow_is_known_within_seconds():
    slowness = dict.fromkeys(("t1", "t2", "t3", "t4"), 1.0)
    estimate = demand.DemandEstimate()
    now = _play(estimate, slowness, random.Random(2), 0.0, 30.0)
    slowness["t1"] = 6.0
    _play(estimate, slowness, random.Random(3), now, 3.0)
    learned = _relative_slowness(estimate, slowness)
    assert learned["t1"] > 2.0 * learned["t2"]


def test_calls_that_all_cost_more_leave_the_speeds_as_they_are():
    slowness = {f"t{i}": (0.6, 1.4)[i % 2] for i in range(12)}
    estimate = demand.DemandEstimate()
    rng = random.Random(4)
    now = _play(estimate, slowness, rng, 0.0, 30.0)
    before = _relative_slowness(estimate, slowness)
    _play(estimate, {t: 3.0 * s for t, s in slowness.items()}, rng, now, 5.0)
    after = _relative_slowness(estimate, slowness)
    assert estimate.mean_work_seconds() > 2.0 * USUAL_SECONDS
    for target_id in slowness:
        assert after[target_id] == pytest.approx(before[target_id], rel=0.25)


def test_targets_that_are_gone_are_forgotten():
    estimate = demand.DemandEstimate()
    now = _play(estimate, {"old": 1.0}, random.Random(6), 0.0, 5.0)
    _play(estimate, {"new": 1.0}, random.Random(7), now, 300.0)
    assert list(estimate._work) == ["new"]
