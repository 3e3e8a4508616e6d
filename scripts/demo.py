"""Runs the example cluster under load, injects faults and prints a report."""

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
KILL_DELAY_SECONDS = 1.5
DRAIN_DELAY_SECONDS = 2.0
RESTORE_DELAY_SECONDS = 3.0
KILLED_TARGET = "yield-desk-0"
DRAINED_ZONE = "sobo"
SEED = 20261204


async def run_demo(directory: pathlib.Path) -> int:
    """Runs the demo.

    Args:
        directory: Where settings, logs and event files are written.

    Returns:
        Number of broken promises and lost calls.
    """
    env = context.Environment(sys.stdout)
    harness = history.Harness(collective.COLLECTIVE, directory)
    cluster = harness.cluster
    with cluster:
        tables.write_lines(
            env, [f"starting {len(cluster.processes)} processes"]
        )
        await cluster.bring_up()
        await harness.record_accepted_config()
        entries = [cluster.entry_address(vm) for vm in cluster.vms]
        load = generator.LoadGenerator(entries, SEED, harness.history)
        tables.write_lines(env, [f"sending calls for {LOAD_SECONDS:g} s"])
        _, killed_at = await asyncio.gather(
            load.run(collective.COLLECTIVE_STREAMS, LOAD_SECONDS),
            _inject_faults(env, harness),
        )
    return _print_report(env, harness, load, killed_at)


async def _inject_faults(env, harness: history.Harness) -> float:
    await asyncio.sleep(KILL_DELAY_SECONDS)
    tables.write_lines(env, [f"killing {KILLED_TARGET}, which owns keys"])
    killed_at = clock.boottime()
    harness.kill(f"target:{KILLED_TARGET}")
    await asyncio.sleep(DRAIN_DELAY_SECONDS)
    tables.write_lines(env, [f"draining zone {DRAINED_ZONE}"])
    await harness.run_operator_command("zone", "drain", DRAINED_ZONE)
    await asyncio.sleep(RESTORE_DELAY_SECONDS)
    tables.write_lines(env, [f"restoring zone {DRAINED_ZONE}"])
    await harness.run_operator_command("zone", "restore", DRAINED_ZONE)
    return killed_at


def _print_report(env, harness, load, killed_at: float) -> int:
    events = harness.read_history()
    tables.write_lines(env, ["", "calls by outcome"])
    tables.write_table(env, _outcome_rows(load))
    violations = harness.check_history()
    duplicate_runs = sum(v.promise == "at-most-once" for v in violations)
    rows = [
        {"measure": "lost", "value": _count_lost(events)},
        {"measure": "doubled", "value": duplicate_runs},
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
            "value": _count_owner_changes(events),
        },
        {"measure": "broken promises", "value": len(violations)},
    ]
    tables.write_lines(env, [""])
    tables.write_table(env, rows)
    for violation in violations[:5]:
        tables.write_lines(env, [str(violation)])
    return len(violations) + _count_lost(events)


def _outcome_rows(load: generator.LoadGenerator) -> list[dict]:
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
    """Counts calls that were answered as run although they did not run."""
    completed_ids = {
        event["request_id"]
        for event in events
        if event["kind"] == kinds.EventKind.RUN_END and event["done"]
    }
    return sum(
        event["kind"] == kinds.EventKind.CALLER_ANSWERED
        and event["code"] in (100, 101)
        and event["request_id"] not in completed_ids
        for event in events
    )


def _recovery_seconds(load, events: list[dict], killed_at: float) -> float:
    """Returns the longest time until a key of the killed target was served.

    The time of each key is measured from its first call after the kill.
    """
    killed_target_keys = {
        event["key"]
        for event in events
        if event["kind"] == kinds.EventKind.RUN_START
        and event["target"] == KILLED_TARGET
    }
    report = load.reports["yield-desk", "yield-query"]
    waits = []
    for key in killed_target_keys:
        answered_after_kill = [
            t for t in report.answer_times.get(key, ()) if t > killed_at
        ]
        sent_at = _first_sent_after_kill(events, key, killed_at)
        if answered_after_kill and sent_at is not None:
            waits.append(min(answered_after_kill) - max(killed_at, sent_at))
    return max(waits, default=0.0)


def _first_sent_after_kill(events, key: str, killed_at: float) -> float | None:
    boot_time_offset = clock.wall() - clock.boottime()
    for event in events:
        if event["kind"] != kinds.EventKind.CALLER_SENT:
            continue
        sent_at = event["clock"] / 1e6 - boot_time_offset
        if event["key"] == key and sent_at > killed_at:
            return sent_at
    return None


def _imbalance(load: generator.LoadGenerator) -> float:
    counts = load.reports["yield-desk", "yield-query"].answers_by_target
    return max(counts.values()) / (sum(counts.values()) / len(counts))


def _count_owner_changes(events: list[dict]) -> int:
    owners: dict[int, str] = {}
    owner_changes: collections.Counter = collections.Counter()
    for event in events:
        if event["kind"] != kinds.EventKind.SHARD_ACTIVE:
            continue
        if event["service"] != "yield-desk":
            continue
        previous_owner = owners.get(event["shard"])
        owners[event["shard"]] = event["target"]
        if previous_owner not in (None, event["target"]):
            owner_changes[event["shard"]] += 1
    return sum(owner_changes.values())


def main() -> int:
    """Runs the demo; returns 1 if a promise was broken or a call was lost."""
    with tempfile.TemporaryDirectory(prefix="jujubeyard-") as directory:
        failure_count = asyncio.run(run_demo(pathlib.Path(directory)))
    return 1 if failure_count else 0


if __name__ == "__main__":
    sys.exit(main())
