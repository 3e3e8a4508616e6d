"""Tests when a controller may plan."""

import pytest

from jujubeyard.controller import readiness
from jujubeyard.plan import tables

WITNESSES = ("vm-0", "vm-1", "vm-2")
CASES = {
    "all": ({"vm-0", "vm-1", "vm-2"}, set(), set(), True),
    "a majority of witnesses": ({"vm-0", "vm-1"}, set(), set(), True),
    "itself only": ({"vm-0"}, set(), set(), False),
    "others, but no majority of witnesses": (
        {"vm-0", "vm-7", "vm-8"},
        set(),
        set(),
        False,
    ),
    "a majority of listed VMs": (
        {"vm-0", "vm-7", "vm-8"},
        {"vm-0", "vm-1", "vm-2", "vm-7", "vm-8"},
        set(),
        True,
    ),
    "half of the listed VMs": (
        {"vm-0", "vm-7"},
        {"vm-0", "vm-1", "vm-2", "vm-7"},
        set(),
        False,
    ),
    "the last witness that is not gone": (
        {"vm-0"},
        {"vm-0", "vm-5", "vm-6"},
        {"vm-1", "vm-2"},
        True,
    ),
    "a fleet replaced as a whole": (
        {"vm-7", "vm-8"},
        {"vm-7", "vm-8", "vm-9"},
        set(WITNESSES),
        True,
    ),
}


def make_plan() -> tables.Plan:
    members = [tables.WitnessRow(f"{vm}/1", "a", "") for vm in WITNESSES]
    return tables.Plan(1, witness_sets=[tables.WitnessSet(1, members)])


@pytest.mark.parametrize(
    ("reachable", "listed", "gone", "expected"), CASES.values(), ids=CASES
)
def test_quorum_needs_a_majority(reachable, listed, gone, expected):
    assert expected is readiness.has_quorum(
        make_plan(), frozenset(reachable), frozenset(listed), frozenset(gone)
    )


def test_first_plan_needs_no_quorum():
    no_vms = frozenset()
    assert readiness.has_quorum(tables.Plan(), no_vms, no_vms, no_vms)


WARM = readiness.WARM_UP_SECONDS
GATE_AT = 1.0
FIRST = GATE_AT + readiness.FIRST_PLAN_DELAY_SECONDS


@pytest.mark.parametrize(
    ("now", "plan_version", "expected"),
    [
        (WARM - 0.1, 3, False),
        (WARM + 0.1, 3, True),
        (FIRST - 0.1, 0, False),
        (FIRST + 0.1, 0, True),
    ],
)
def test_plan_waits_for_the_warm_up(now, plan_version, expected):
    plan_readiness = readiness.Readiness(0.0)
    plan_readiness.record_gate(GATE_AT)
    assert plan_readiness.may_plan(now, plan_version) is expected


def test_pause_restarts_the_warm_up():
    plan_readiness = readiness.Readiness(0.0)
    for tick in range(40):
        plan_readiness.record_tick(0.1 * tick, 0.1)
    assert plan_readiness.may_plan(5.0, 3)
    plan_readiness.record_tick(10.0, 0.1)
    assert not plan_readiness.may_plan(10.0 + WARM - 0.1, 3)
    assert plan_readiness.may_plan(10.0 + WARM + 0.1, 3)
