"""Tests when a gate releases a shard to the next owner."""

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
FAR_FUTURE_SECONDS = 3600.0
"""Longer than any test runs."""


def make_call(shard: int, epoch: int) -> tables.CallRow:
    call = types.SimpleNamespace(shard=shard)
    return tables.CallRow(call, None, None, None, 0.0, 0.0, epoch=epoch)


def make_target(checks_grants: bool, **fields) -> tables.TargetRow:
    manifest = builders.make_manifest(checks_grants=checks_grants)
    service = builders.make_config(manifest).services["desk"]
    target_lifecycle = lifecycle.TargetLifecycle()
    target_lifecycle.acquire()
    return tables.TargetRow(
        "desk-0",
        service,
        None,
        1,
        [],
        None,
        ramp.ConcurrencyRamp(1, 6, 0),
        target_lifecycle,
        **fields,
    )


def request_shard(
    target: tables.TargetRow, plan_version: int = NEXT_EPOCH
) -> list[int]:
    """Requests a shard from the target's gate; returns the released shards."""
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


def far_future() -> float:
    return clock.boottime() + FAR_FUTURE_SECONDS


def granted(**fields) -> dict:
    expire_at = {SHARD: far_future()}
    return {"grants": tables.GrantState(expire_at=expire_at, **fields)}


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
        lambda: {"abandoned": [tables.AbandonedCall(SHARD, far_future())]},
        [],
    ),
    "calls of a former holder": (
        False,
        lambda: {"busy_until": far_future()},
        [],
    ),
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
            "grants": tables.GrantState(
                acked={SHARD: EPOCH}, expire_at={SHARD: 0.0}
            )
        },
        [SHARD],
    ),
}


@pytest.mark.parametrize(
    ("checks_grants", "make_fields", "expected"), CASES.values(), ids=CASES
)
def test_shard_is_released_once_no_call_can_run(
    checks_grants, make_fields, expected
):
    assert (
        request_shard(make_target(checks_grants, **make_fields())) == expected
    )


def test_gate_with_an_older_plan_releases_nothing():
    assert request_shard(make_target(False), NEXT_EPOCH - 1) == []


def test_target_being_acquired_releases_nothing():
    target = make_target(False)
    target.lifecycle.reacquire()
    assert request_shard(target) == []
