"""Each check finds its promise broken in a history made by hand."""

import pytest

from jujubeyard.events import call_checks
from jujubeyard.events import checker
from jujubeyard.events import findings

SECOND = 1_000_000
RULES = findings.ClusterInfo(
    {"desk-0": "a", "desk-1": "b"}, {"desk-0": 2, "desk-1": 2}
)


def event(clock: int, process: str, kind: str, **fields) -> dict:
    return {"clock": clock, "process": process, "kind": kind, **fields}


def start(clock: int, target: str, run: str, **fields) -> dict:
    row = {"shard": 1, "epoch": 1, "request_id": run, "in_flight": 1}
    row.update(fields)
    return event(
        clock, f"target:{target}", "run-start", target=target, run=run, **row
    )


def end(clock: int, target: str, run: str, done: bool = True) -> dict:
    return event(
        clock, f"target:{target}", "run-end", target=target, run=run, done=done
    )


def sent(request_id: str, idempotent: bool) -> dict:
    return event(
        0,
        "harness",
        "caller-sent",
        request_id=request_id,
        idempotent=idempotent,
    )


def answered(request_id: str, **fields) -> dict:
    row = {"code": 100, "not_run": False, "own": True}
    row.update(fields)
    return event(9, "harness", "caller-answered", request_id=request_id, **row)


def active(clock: int, target: str, epoch: int) -> dict:
    return event(
        clock,
        "gate:vm-0",
        "shard-active",
        service="desk",
        shard=1,
        target=target,
        epoch=epoch,
    )


def accepted(clock: int, version: int, zones=(), targets=()) -> dict:
    return event(
        clock,
        "harness",
        "config-accepted",
        version=version,
        drained_zones=list(zones),
        drained_targets=list(targets),
    )


def installed(clock: int, version: int, kind: str = "config") -> dict:
    return event(clock, "entry:vm-0", f"{kind}-installed", version=version)


BROKEN = {
    "overlapping owners": (
        "single-owner",
        [
            start(1, "desk-0", "r1"),
            start(2, "desk-1", "r2", epoch=2),
            end(3, "desk-0", "r1"),
        ],
    ),
    "older epoch after a newer one": (
        "single-owner",
        [
            start(1, "desk-1", "r1", epoch=2),
            end(2, "desk-1", "r1"),
            start(3, "desk-0", "r2", epoch=1),
            end(4, "desk-0", "r2"),
        ],
    ),
    "run without an end": (
        "single-owner",
        [
            start(1, "desk-0", "r1"),
            start(5, "desk-1", "r2", epoch=2),
            end(6, "desk-1", "r2"),
        ],
    ),
    "former holder sends": (
        "single-owner",
        [
            event(1, "gate:vm-1", "send", target="desk-0", holder=5),
            event(2, "gate:vm-0", "send", target="desk-0", holder=4),
        ],
    ),
    "assignment lost": (
        "assignment-survives",
        [active(1, "desk-1", 5), active(2, "desk-0", 4)],
    ),
    "two owners under one epoch": (
        "assignment-survives",
        [active(1, "desk-1", 5), active(2, "desk-0", 5)],
    ),
    "cold target overrun": (
        "cold-start",
        [event(1, "target:desk-0", "run-refused", reason="cold")],
    ),
    "more refusals than were on their way": (
        "cold-start",
        [event(1, "target:desk-0", "target-cold", target="desk-0")]
        + [
            event(2 + n, "target:desk-0", "run-refused", reason="cold")
            for n in range(3)
        ],
    ),
    "slots exceeded": (
        "cold-start",
        [start(1, "desk-0", "r1", in_flight=3), end(2, "desk-0", "r1")],
    ),
    "work in a drained zone": (
        "drain",
        [
            accepted(0, 2, zones=["a"]),
            start(5 * SECOND + 1, "desk-0", "r1"),
            end(5 * SECOND + 2, "desk-0", "r1"),
        ],
    ),
    "work in a zone that was drained before its record": (
        "drain",
        [
            installed(0, 2),
            accepted(SECOND, 2, zones=["a"]),
            start(5 * SECOND + 1, "desk-0", "r1"),
            end(5 * SECOND + 2, "desk-0", "r1"),
        ],
    ),
    "work at a drained target": (
        "drain",
        [
            accepted(0, 2, targets=["desk-1"]),
            accepted(SECOND, 3, targets=["desk-1"]),
            start(5 * SECOND + 1, "desk-1", "r1"),
            end(5 * SECOND + 2, "desk-1", "r1"),
        ],
    ),
    "another's answer": ("own-answer", [answered("r1", own=False)]),
    "false refusal": (
        "not-run",
        [
            start(1, "desk-0", "r1"),
            end(2, "desk-0", "r1"),
            answered("r1", not_run=True, code=212),
        ],
    ),
    "run twice": (
        "at-most-once",
        [
            sent("r1", False),
            start(1, "desk-0", "x", request_id="r1", shard=-1),
            end(2, "desk-0", "x"),
            start(3, "desk-1", "y", request_id="r1", shard=-1),
            end(4, "desk-1", "y"),
        ],
    ),
    "configuration reverted": (
        "never-reverts",
        [installed(1, 3), installed(2, 2)],
    ),
    "plan reverted": (
        "never-reverts",
        [installed(1, 3, "plan"), installed(2, 3, "plan")],
    ),
    "configuration not in force": (
        "in-force",
        [
            event(0, "entry:vm-0", "start"),
            event(0, "entry:vm-1", "start"),
            accepted(1, 2),
            installed(2, 2),
            event(8 * SECOND, "entry:vm-0", "stop"),
        ],
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_check_finds_broken_promise(name):
    promise, history = BROKEN[name]
    found = checker.check(history, RULES)
    assert [violation.promise for violation in found] == [promise]
    assert found[0].events


def test_check_finds_cut_call():
    history = [answered("r1", code=300)]
    found = call_checks.check_no_interrupted_calls(history)
    assert [violation.promise for violation in found] == ["uncut"]


SOUND = {
    "empty": [],
    "owners one after the other": [
        start(1, "desk-0", "r1"),
        end(2, "desk-0", "r1"),
        start(3, "desk-1", "r2", epoch=2),
        end(4, "desk-1", "r2"),
    ],
    "fenced run of a former owner": [
        start(1, "desk-0", "r1"),
        start(2, "desk-1", "r2", epoch=2),
        end(3, "desk-1", "r2"),
        end(4, "desk-0", "r1", done=False),
    ],
    "run that ended with its process": [
        start(1, "desk-0", "r1"),
        event(2, "harness", "process-killed", name="target:desk-0"),
        start(3, "desk-1", "r2", epoch=2),
        end(4, "desk-1", "r2"),
    ],
    "idempotent call run again": [
        sent("r1", True),
        start(1, "desk-0", "x", request_id="r1", shard=-1),
        end(2, "desk-0", "x"),
        start(3, "desk-1", "y", request_id="r1", shard=-1),
        end(4, "desk-1", "y"),
    ],
    "work within the drain's grace": [
        accepted(0, 2, zones=["a"]),
        start(4 * SECOND, "desk-0", "r1"),
        end(4 * SECOND + 1, "desk-0", "r1"),
    ],
    "zone back in before its record": [
        accepted(0, 2, zones=["a"]),
        installed(9 * SECOND, 3),
        start(9 * SECOND + 1, "desk-0", "r1"),
        end(9 * SECOND + 2, "desk-0", "r1"),
        accepted(9 * SECOND + 3, 3),
    ],
    "zone back in": [
        accepted(0, 2, zones=["a"]),
        accepted(SECOND, 3),
        start(9 * SECOND, "desk-0", "r1"),
        end(9 * SECOND + 1, "desk-0", "r1"),
    ],
    "older version after a restart": [
        installed(1, 3),
        event(2, "entry:vm-0", "start"),
        installed(3, 2),
    ],
}


@pytest.mark.parametrize("name", SOUND)
def test_check_accepts_sound_history(name):
    assert checker.check(SOUND[name], RULES) == []
