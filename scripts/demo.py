"""Runs the Collective's fleet, breaks some of it and shows what happened."""

import asyncio
import collections
import pathlib
import sys
import tempfile

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard import context
from jujubeyard.events import kinds
from jujubeyard.load import generator
from jujubeyard.output import tables
from scripts import collective
from scripts import history

LOAD_SECONDS = 9.0
KILL_AT_SECONDS = 1.5
DRAIN_AT_SECONDS = 2.0
RESTORE_AT_SECONDS = 3.0
VICTIM = "yield-desk-0"
ZONE = "sobo"
SEED = 20261204


async def run_demo(directory: pathlib.Path) -> int:
    """Runs the demo.

    Returns:
        Number of broken promises.
    """
    env = context.Environment(sys.stdout)
    harness = history.Harness(collective.COLLECTIVE, directory)
    fleet = harness.cluster
    with fleet:
        tables.write_lines(env, [f"starting {len(fleet.processes)} processes"])
        await fleet.bring_up()
        await harness.record_accepted()
        entries = [fleet.entry_address(vm) for vm in fleet.vms]
        load = generator.Generator(entries, SEED, harness.history)
        tables.write_lines(env, [f"sending calls for {LOAD_SECONDS:g} s"])
        _, killed_at = await asyncio.gather(
            load.run(collective.COLLECTIVE_STREAMS, LOAD_SECONDS),
            _break_things(env, harness),
        )
    return _report(env, harness, load, killed_at)


async def _break_things(env, harness: history.Harness) -> float:
    await asyncio.sleep(KILL_AT_SECONDS)
    tables.write_lines(env, [f"killing {VICTIM}, which owns keys"])
    killed_at = clock.boottime()
    harness.kill(f"target:{VICTIM}")
    await asyncio.sleep(DRAIN_AT_SECONDS)
    tables.write_lines(env, [f"taking zone {ZONE} out"])
    await harness.operate("zone", "drain", ZONE)
    await asyncio.sleep(RESTORE_AT_SECONDS)
    tables.write_lines(env, [f"taking zone {ZONE} back in"])
    await harness.operate("zone", "restore", ZONE)
    return killed_at


def _report(env, harness, load, killed_at: float) -> int:
    events = harness.read_history()
    tables.write_lines(env, ["", "calls by outcome"])
    tables.write_table(env, _outcome_rows(load))
    violations = harness.check()
    doubled = sum(v.promise == "at-most-once" for v in violations)
    rows = [
        {"measure": "lost", "value": _count_lost(events)},
        {"measure": "doubled", "value": doubled},
        {
            "measure": "longest time until a key was served again, s",
            "value": f"{_recovery_seconds(load, events, killed_at):.2f}",
        },
        {
            "measure": "imbalance of yield-desk, max over mean of calls",
            "value": f"{_imbalance(load):.2f}",
        },
        {
            "measure": "churn, shards that changed owner",
            "value": _churn(events),
        },
        {"measure": "broken promises", "value": len(violations)},
    ]
    tables.write_lines(env, [""])
    tables.write_table(env, rows)
    for violation in violations[:5]:
        tables.write_lines(env, [str(violation)])
    return len(violations) + _count_lost(events)


def _outcome_rows(load: generator.Generator) -> list[dict]:
    rows = []
    for (service, kind), report in sorted(load.reports.items()):
        for code, count in sorted(report.codes.items()):
            name = "no answer"
            if code != generator.NO_ANSWER:
                name = codes.ResultCode(code).name.lower()
            rows.append(
                {
                    "service": service,
                    "kind": kind,
                    "outcome": name,
                    "calls": count,
                }
            )
    return rows


def _count_lost(events: list[dict]) -> int:
    """Counts calls that callers were told have run and that did not."""
    ran = {
        event["request_id"]
        for event in events
        if event["kind"] == kinds.EventKind.RUN_END and event["done"]
    }
    return sum(
        event["kind"] == kinds.EventKind.CALLER_ANSWERED
        and event["code"] in (100, 101)
        and event["request_id"] not in ran
        for event in events
    )


def _recovery_seconds(load, events: list[dict], killed_at: float) -> float:
    """Returns the longest wait for a good answer among the victim's keys."""
    lost_keys = {
        event["key"]
        for event in events
        if event["kind"] == kinds.EventKind.RUN_START
        and event["target"] == VICTIM
    }
    report = load.reports["yield-desk", "yield-query"]
    waits = []
    for key in lost_keys:
        after = [t for t in report.answered_at.get(key, ()) if t > killed_at]
        asked = _first_ask(events, key, killed_at)
        if after and asked is not None:
            waits.append(min(after) - max(killed_at, asked))
    return max(waits, default=0.0)


def _first_ask(events, key: str, killed_at: float) -> float | None:
    offset = clock.wall() - clock.boottime()
    for event in events:
        if event["kind"] != kinds.EventKind.CALLER_SENT:
            continue
        at = event["clock"] / 1e6 - offset
        if event["key"] == key and at > killed_at:
            return at
    return None


def _imbalance(load: generator.Generator) -> float:
    counts = load.reports["yield-desk", "yield-query"].by_target
    return max(counts.values()) / (sum(counts.values()) / len(counts))


def _churn(events: list[dict]) -> int:
    owners: dict[int, str] = {}
    moves: collections.Counter = collections.Counter()
    for event in events:
        if event["kind"] != kinds.EventKind.SHARD_ACTIVE:
            continue
        if event["service"] != "yield-desk":
            continue
        before = owners.get(event["shard"])
        owners[event["shard"]] = event["target"]
        if before not in (None, event["target"]):
            moves[event["shard"]] += 1
    return sum(moves.values())


def main() -> int:
    """Runs the demo and returns its exit status."""
    with tempfile.TemporaryDirectory(prefix="jujubeyard-") as directory:
        broken = asyncio.run(run_demo(pathlib.Path(directory)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
