"""When a gate lets the next owner have a shard."""

import types

import pytest

from jujubeyard import clock
from jujubeyard.admission import dedupe
from jujubeyard.admission import ramp
from jujubeyard.gate import lifecycle
from jujubeyard.gate import release
from jujubeyard.gate import tables
from jujubeyard.link import messages
from tests.utils import builders

SHARD = 3
EPOCH = 5
NEXT_EPOCH = 9
LATER = 3600.0
"""Seconds from now, longer than a test takes."""


def make_call(shard: int, epoch: int) -> tables.CallRow:
    call = types.SimpleNamespace(shard=shard)
    return tables.CallRow(call, None, None, None, 0.0, 0.0, epoch=epoch)


def make_target(checks_grants: bool, **fields) -> tables.TargetRow:
    manifest = builders.make_manifest(checks_grants=checks_grants)
    service = builders.make_config(manifest).services["desk"]
    life = lifecycle.Life()
    life.acquire()
    return tables.TargetRow(
        "desk-0", service, None, 1, [], None, ramp.Ramp(1, 6, 0), life, **fields
    )


def ask(target: tables.TargetRow, plan_version: int = NEXT_EPOCH) -> list[int]:
    """Returns the shards that the gate of a target releases."""
    gate = types.SimpleNamespace(
        follower=types.SimpleNamespace(
            plan_version=plan_version, resubscribe=lambda: None
        ),
        targets={target.name: target},
        ids=dedupe.DedupeTable(),
    )
    request = messages.ReleaseShards(
        1, "desk", target.name, [SHARD], NEXT_EPOCH
    )
    return release.release_shards(gate, request).released


def soon() -> float:
    return clock.boottime() + LATER


def granted(**fields) -> dict:
    ends = {SHARD: soon()}
    return {"grants": tables.GrantState(ends=ends, **fields)}


CASES = {
    "nothing runs": (False, dict, [SHARD]),
    "a call of the shard runs": (
        False,
        lambda: {"in_flight": {make_call(SHARD, EPOCH)}},
        [],
    ),
    "a call of another shard runs": (
        False,
        lambda: {"in_flight": {make_call(SHARD + 1, EPOCH)}},
        [SHARD],
    ),
    "a call of unknown end": (
        False,
        lambda: {"ghosts": [tables.Ghost(SHARD, soon())]},
        [],
    ),
    "calls of a former holder": (False, lambda: {"busy_until": soon()}, []),
    "revoked": (True, granted, [SHARD]),
    "still granted": (True, lambda: granted(acked={SHARD: EPOCH}), []),
    "revoked, a call still runs there": (
        True,
        lambda: granted(running=frozenset({SHARD})),
        [],
    ),
    "revoked, a call is on its way": (
        True,
        lambda: {**granted(), "in_flight": {make_call(SHARD, EPOCH)}},
        [],
    ),
    "every grant has expired": (
        True,
        lambda: {
            "grants": tables.GrantState(acked={SHARD: EPOCH}, ends={SHARD: 0.0})
        },
        [SHARD],
    ),
}


@pytest.mark.parametrize(
    ("checks_grants", "make_fields", "expected"), CASES.values(), ids=CASES
)
def test_shard_is_released_once_nothing_can_run(
    checks_grants, make_fields, expected
):
    assert ask(make_target(checks_grants, **make_fields())) == expected


def test_gate_with_an_older_plan_releases_nothing():
    assert ask(make_target(False), NEXT_EPOCH - 1) == []


def test_target_that_is_being_acquired_releases_nothing():
    target = make_target(False)
    target.life.renew()
    assert ask(target) == []
