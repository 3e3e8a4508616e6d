"""Measures which calls are answered while a zone or all targets are out.

python -m bench.outages [--seeds 3]

Real processes, five VMs in three zones. Operations: an availability zone is
drained, its targets stop for a while, and it is restored; a zone is lost with
its VMs and targets, and comes back; all targets of a service are lost. The
baseline is a forwarder that sends calls to all targets round robin. Prints
medians and spreads over the seeds and writes JSON.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import tempfile

import fire

from bench import results
from jujubeyard import context
from jujubeyard.events import kinds
from jujubeyard.load import generator
from jujubeyard.output import tables
from scripts import history
from scripts import specs

Stream = generator.Stream
ZONE = "c"
BEFORE_SECONDS = 1.0
OUT_SECONDS = 3.0
DRAIN_SECONDS = 1.0
AFTER_SECONDS = 3.0
FORWARDER_PORT = 8090
KEYS = 10
SERVED = (100, 101)

SPEC = specs.ClusterSpec(
    "outages",
    ("a", "b", "c"),
    5,
    (
        specs.ServiceSpec(
            "desk",
            (specs.KindSpec("read", True, 0, 1.0, 2000),),
            6,
            keyed=True,
            checks_grants=True,
        ),
        specs.ServiceSpec(
            "pool",
            (
                specs.KindSpec("order", False, 1, 1.0, 2000),
                specs.KindSpec("look", True, 5, 1.0, 2000),
            ),
            6,
        ),
    ),
)
STREAMS = [
    Stream("desk", "read", True, 240, KEYS),
    Stream("pool", "order", False, 40),
    Stream("pool", "look", True, 40),
]


@dataclasses.dataclass
class Sample:
    """What one run showed.

    Attributes:
        answered: Percent of the calls that were answered.
        gap: Longest time between two answers for one key, seconds; 0.0 for
            services without keys.
        sends: Sends to targets for each call.
        tries: Attempts of entries at gates for each call; 0.0 for the
            baseline.
    """

    answered: float
    gap: float
    sends: float
    tries: float


async def _drain_zone(harness: history.Harness) -> None:
    """Takes a zone out, stops its targets for a while, takes it back in."""
    await harness.run_operator_command("zone", "drain", ZONE)
    await asyncio.sleep(DRAIN_SECONDS)
    names = _targets_of(harness, ZONE)
    await _stop_targets(harness, names)
    await harness.run_operator_command("zone", "restore", ZONE)


async def _lose_zone(harness: history.Harness) -> None:
    """Kills the VMs and the targets of a zone, and starts them again."""
    fleet = harness.cluster
    vms = [vm for vm in fleet.vms if fleet.zone_of(vm) == ZONE]
    for vm in vms:
        harness.kill_vm(vm)
    await _stop_targets(harness, _targets_of(harness, ZONE))
    for vm in vms:
        fleet.start_vm(vm)


async def _lose_pool(harness: history.Harness) -> None:
    """Kills all targets of the pooled service, and starts them again."""
    names = [n for n, _, _, s in harness.cluster.targets() if s.name == "pool"]
    await _stop_targets(harness, names)


OPERATIONS = {
    "zone drained": (_drain_zone, ("desk", "pool")),
    "zone lost": (_lose_zone, ("desk", "pool")),
    "all targets lost": (_lose_pool, ("pool",)),
}
"""By name: what is done, and the services that are measured."""


def _targets_of(harness: history.Harness, zone: str) -> list[str]:
    return [n for n, z, _, _ in harness.cluster.targets() if z == zone]


async def _stop_targets(harness, names: list[str]) -> None:
    for name in names:
        harness.kill(f"target:{name}")
    await asyncio.sleep(OUT_SECONDS)
    for name in names:
        harness.cluster.start_target(name)


@contextlib.contextmanager
def _forwarder(harness: history.Harness):
    """Yields the address of a running baseline over the pool's targets."""
    fleet = harness.cluster
    listen = f"{fleet.vm_ip(fleet.vms[0])}:{FORWARDER_PORT}"
    targets = [row[2] for row in fleet.targets() if row[3].name == "pool"]
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.forwarder", listen, *targets]
    )
    try:
        yield listen
    finally:
        process.kill()
        process.wait()


async def _measure(operation, baseline: bool, seed: int) -> dict[str, Sample]:
    with tempfile.TemporaryDirectory(prefix="outages-") as directory:
        harness = history.Harness(SPEC, pathlib.Path(directory))
        with harness.cluster, _forwarder(harness) as forwarder:
            await harness.cluster.bring_up()
            entries = _entries_elsewhere(harness)
            load = generator.Generator(
                [forwarder] if baseline else entries, seed, harness.history
            )
            await _send_during(load, operation(harness), baseline)
            events = harness.read_history()
    return {
        service: _summarise(load, events, service, baseline)
        for service in ("desk", "pool")
        if not baseline or service == "pool"
    }


def _entries_elsewhere(harness: history.Harness) -> list[str]:
    """Entries outside the zone: balancers are the platform's part."""
    fleet = harness.cluster
    return [
        fleet.entry_address(vm) for vm in fleet.vms if fleet.zone_of(vm) != ZONE
    ]


async def _send_during(load, operation, baseline: bool) -> None:
    streams = [s for s in STREAMS if not baseline or s.service == "pool"]
    stop = asyncio.Event()
    sending = asyncio.create_task(load.run(streams, 120.0, stop))
    await asyncio.sleep(BEFORE_SECONDS)
    await operation
    await asyncio.sleep(AFTER_SECONDS)
    stop.set()
    await sending


def _summarise(load, events: list[dict], service: str, baseline) -> Sample:
    reports = [r for (name, _), r in load.reports.items() if name == service]
    calls = sum(sum(report.codes.values()) for report in reports)
    served = sum(report.codes[code] for report in reports for code in SERVED)
    times = [t for r in reports for t in r.answered_at.values()]
    return Sample(
        100 * served / calls,
        max((_longest_gap(row) for row in times), default=0.0),
        _count(events, kinds.EventKind.SEND, service) / calls,
        0.0
        if baseline
        else _count(events, kinds.EventKind.REPLY, service) / calls,
    )


def _longest_gap(times: list[float]) -> float:
    ordered = sorted(times)
    pairs = zip(ordered, ordered[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0.0)


def _count(events: list[dict], kind: kinds.EventKind, service: str) -> int:
    return sum(e["kind"] == kind and e["service"] == service for e in events)


def _make_row(name: str, policy: str, service: str, found) -> dict:
    row = {"event": name, "policy": policy, "service": service}
    row["answered, %"] = _spread_or_none([s.answered for s in found])
    row["longest gap of a key, s"] = _spread_or_none([s.gap for s in found])
    row["sends a call"] = _spread_or_none([s.sends for s in found])
    row["tries at gates a call"] = _spread_or_none([s.tries for s in found])
    return row


def _spread_or_none(values: list[float]) -> str:
    if not any(values):
        return "-"
    return results.spread(values)


def run(seeds: int = 3, out: str = "build/outages.json") -> None:
    """Runs the benchmark.

    Args:
        seeds: Number of seeds.
        out: Where the JSON goes.
    """
    env = context.Environment(sys.stdout)
    rows = []
    for name, (operation, services) in OPERATIONS.items():
        for policy, baseline in (("jujubeyard", False), ("round robin", True)):
            found = [
                asyncio.run(_measure(operation, baseline, seed))
                for seed in range(seeds)
            ]
            rows += [
                _make_row(name, policy, service, [f[service] for f in found])
                for service in services
                if service in found[0]
            ]
            print(f"{name}, {policy}: measured", file=sys.stderr)
    tables.write_table(env, rows)
    results.write_json(out, rows)


if __name__ == "__main__":
    fire.Fire(run)
