"""Tests each history check with small hand-written histories."""

import pytest

from jujubeyard.events import call_checks
from jujubeyard.events import checker
from jujubeyard.events import findings

SECOND = 1_000_000
CLUSTER = findings.ClusterInfo(
    {"desk-0": "a", "desk-1": "b"}, {"desk-0": 2, "desk-1": 2}
)


def make_event(clock: int, process: str, kind: str, **fields) -> dict:
    return {"clock": clock, "process": process, "kind": kind, **fields}


def run_start(clock: int, target: str, run: str, **fields) -> dict:
    details = {"shard": 1, "epoch": 1, "request_id": run, "in_flight": 1}
    details.update(fields)
    return make_event(
        clock,
        f"target:{target}",
        "run-start",
        target=target,
        run=run,
        **details,
    )


def run_end(clock: int, target: str, run: str, done: bool = True) -> dict:
    return make_event(
        clock, f"target:{target}", "run-end", target=target, run=run, done=done
    )


def caller_sent(request_id: str, idempotent: bool) -> dict:
    return make_event(
        0,
        "harness",
        "caller-sent",
        request_id=request_id,
        idempotent=idempotent,
    )


def caller_answered(request_id: str, **fields) -> dict:
    details = {"code": 100, "not_run": False, "own": True}
    details.update(fields)
    return make_event(
        9, "harness", "caller-answered", request_id=request_id, **details
    )


def shard_active(clock: int, target: str, epoch: int) -> dict:
    return make_event(
        clock,
        "gate:vm-0",
        "shard-active",
        service="desk",
        shard=1,
        target=target,
        epoch=epoch,
    )


def config_accepted(clock: int, version: int, zones=(), targets=()) -> dict:
    return make_event(
        clock,
        "harness",
        "config-accepted",
        version=version,
        drained_zones=list(zones),
        drained_targets=list(targets),
    )


def version_installed(clock: int, version: int, kind: str = "config") -> dict:
    return make_event(clock, "entry:vm-0", f"{kind}-installed", version=version)


VIOLATING_HISTORIES = {
    "overlapping owners": (
        "single-owner",
        [
            run_start(1, "desk-0", "r1"),
            run_start(2, "desk-1", "r2", epoch=2),
            run_end(3, "desk-0", "r1"),
        ],
    ),
    "older epoch after a newer one": (
        "single-owner",
        [
            run_start(1, "desk-1", "r1", epoch=2),
            run_end(2, "desk-1", "r1"),
            run_start(3, "desk-0", "r2", epoch=1),
            run_end(4, "desk-0", "r2"),
        ],
    ),
    "run without an end": (
        "single-owner",
        [
            run_start(1, "desk-0", "r1"),
            run_start(5, "desk-1", "r2", epoch=2),
            run_end(6, "desk-1", "r2"),
        ],
    ),
    "former holder sends": (
        "single-owner",
        [
            make_event(1, "gate:vm-1", "send", target="desk-0", holder=5),
            make_event(2, "gate:vm-0", "send", target="desk-0", holder=4),
        ],
    ),
    "assignment lost": (
        "assignment-survives",
        [shard_active(1, "desk-1", 5), shard_active(2, "desk-0", 4)],
    ),
    "two owners under one epoch": (
        "assignment-survives",
        [shard_active(1, "desk-1", 5), shard_active(2, "desk-0", 5)],
    ),
    "cold target overrun": (
        "cold-start",
        [make_event(1, "target:desk-0", "run-refused", reason="cold")],
    ),
    "more refusals than were on their way": (
        "cold-start",
        [make_event(1, "target:desk-0", "target-cold", target="desk-0")]
        + [
            make_event(
                2 + number, "target:desk-0", "run-refused", reason="cold"
            )
            for number in range(3)
        ],
    ),
    "slots exceeded": (
        "cold-start",
        [run_start(1, "desk-0", "r1", in_flight=3), run_end(2, "desk-0", "r1")],
    ),
    "work in a drained zone": (
        "drain",
        [
            config_accepted(0, 2, zones=["a"]),
            run_start(5 * SECOND + 1, "desk-0", "r1"),
            run_end(5 * SECOND + 2, "desk-0", "r1"),
        ],
    ),
    "work in a zone that was drained before its record": (
        "drain",
        [
            version_installed(0, 2),
            config_accepted(SECOND, 2, zones=["a"]),
            run_start(5 * SECOND + 1, "desk-0", "r1"),
            run_end(5 * SECOND + 2, "desk-0", "r1"),
        ],
    ),
    "work at a drained target": (
        "drain",
        [
            config_accepted(0, 2, targets=["desk-1"]),
            config_accepted(SECOND, 3, targets=["desk-1"]),
            run_start(5 * SECOND + 1, "desk-1", "r1"),
            run_end(5 * SECOND + 2, "desk-1", "r1"),
        ],
    ),
    "another's answer": ("own-answer", [caller_answered("r1", own=False)]),
    "false refusal": (
        "not-run",
        [
            run_start(1, "desk-0", "r1"),
            run_end(2, "desk-0", "r1"),
            caller_answered("r1", not_run=True, code=212),
        ],
    ),
    "run twice": (
        "at-most-once",
        [
            caller_sent("r1", False),
            run_start(1, "desk-0", "x", request_id="r1", shard=-1),
            run_end(2, "desk-0", "x"),
            run_start(3, "desk-1", "y", request_id="r1", shard=-1),
            run_end(4, "desk-1", "y"),
        ],
    ),
    "configuration reverted": (
        "never-reverts",
        [version_installed(1, 3), version_installed(2, 2)],
    ),
    "plan reverted": (
        "never-reverts",
        [version_installed(1, 3, "plan"), version_installed(2, 3, "plan")],
    ),
    "configuration not in force": (
        "in-force",
        [
            make_event(0, "entry:vm-0", "start"),
            make_event(0, "entry:vm-1", "start"),
            config_accepted(1, 2),
            version_installed(2, 2),
            make_event(8 * SECOND, "entry:vm-0", "stop"),
        ],
    ),
}


@pytest.mark.parametrize("name", VIOLATING_HISTORIES)
def test_check_finds_violation(name):
    promise, history = VIOLATING_HISTORIES[name]
    violations = checker.check(history, CLUSTER)
    assert [violation.promise for violation in violations] == [promise]
    assert violations[0].events


def test_check_finds_interrupted_call():
    history = [caller_answered("r1", code=300)]
    violations = call_checks.check_no_interrupted_calls(history)
    assert [violation.promise for violation in violations] == ["uncut"]


VALID_HISTORIES = {
    "empty": [],
    "owners one after the other": [
        run_start(1, "desk-0", "r1"),
        run_end(2, "desk-0", "r1"),
        run_start(3, "desk-1", "r2", epoch=2),
        run_end(4, "desk-1", "r2"),
    ],
    "fenced run of a former owner": [
        run_start(1, "desk-0", "r1"),
        run_start(2, "desk-1", "r2", epoch=2),
        run_end(3, "desk-1", "r2"),
        run_end(4, "desk-0", "r1", done=False),
    ],
    "run that ended with its process": [
        run_start(1, "desk-0", "r1"),
        make_event(2, "harness", "process-killed", name="target:desk-0"),
        run_start(3, "desk-1", "r2", epoch=2),
        run_end(4, "desk-1", "r2"),
    ],
    "idempotent call run again": [
        caller_sent("r1", True),
        run_start(1, "desk-0", "x", request_id="r1", shard=-1),
        run_end(2, "desk-0", "x"),
        run_start(3, "desk-1", "y", request_id="r1", shard=-1),
        run_end(4, "desk-1", "y"),
    ],
    "work within the drain's grace": [
        config_accepted(0, 2, zones=["a"]),
        run_start(4 * SECOND, "desk-0", "r1"),
        run_end(4 * SECOND + 1, "desk-0", "r1"),
    ],
    "zone back in before its record": [
        config_accepted(0, 2, zones=["a"]),
        version_installed(9 * SECOND, 3),
        run_start(9 * SECOND + 1, "desk-0", "r1"),
        run_end(9 * SECOND + 2, "desk-0", "r1"),
        config_accepted(9 * SECOND + 3, 3),
    ],
    "zone back in": [
        config_accepted(0, 2, zones=["a"]),
        config_accepted(SECOND, 3),
        run_start(9 * SECOND, "desk-0", "r1"),
        run_end(9 * SECOND + 1, "desk-0", "r1"),
    ],
    "older version after a restart": [
        version_installed(1, 3),
        make_event(2, "entry:vm-0", "start"),
        version_installed(3, 2),
    ],
}


@pytest.mark.parametrize("name", VALID_HISTORIES)
def test_check_accepts_valid_history(name):
    assert checker.check(VALID_HISTORIES[name], CLUSTER) == []
