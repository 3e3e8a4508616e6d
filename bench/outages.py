"""Measures which calls are answered during outages of a zone or all targets.

python -m bench.outages [--seeds 3]

Runs real processes on five VMs in three availability zones. The outages are: a
zone is drained, its targets stop and it is restored; a zone is lost with its
VMs and targets and comes back; all targets of a service are lost and come back.
The baseline is a forwarder that sends calls to all targets round robin. Prints
medians and ranges over the seeds and writes JSON.
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
OUTAGE_SECONDS = 3.0
DRAIN_SECONDS = 1.0
AFTER_SECONDS = 3.0
FORWARDER_PORT = 8090
KEY_COUNT = 10
SERVED_CODES = (100, 101)

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
    Stream("desk", "read", True, 240, KEY_COUNT),
    Stream("pool", "order", False, 40),
    Stream("pool", "look", True, 40),
]


@dataclasses.dataclass
class Sample:
    """Figures of one service in one run.

    Attributes:
        answered: Percentage of the calls that were answered.
        gap: Longest time between two answers for one key, in seconds; 0.0 for
            services without keys.
        sends: Mean number of sends to targets per call.
        tries: Mean number of attempts at gates per call; 0.0 for the baseline.
    """

    answered: float
    gap: float
    sends: float
    tries: float


async def _drain_zone(harness: history.Harness) -> None:
    """Drains a zone, stops its targets for a while and restores the zone."""
    await harness.run_operator_command("zone", "drain", ZONE)
    await asyncio.sleep(DRAIN_SECONDS)
    names = _targets_in_zone(harness, ZONE)
    await _restart_targets(harness, names)
    await harness.run_operator_command("zone", "restore", ZONE)


async def _lose_zone(harness: history.Harness) -> None:
    """Kills the VMs and targets of a zone and starts them again."""
    local_cluster = harness.cluster
    vms = [vm for vm in local_cluster.vms if local_cluster.zone_of(vm) == ZONE]
    for vm in vms:
        harness.kill_vm(vm)
    await _restart_targets(harness, _targets_in_zone(harness, ZONE))
    for vm in vms:
        local_cluster.start_vm(vm)


async def _lose_pool(harness: history.Harness) -> None:
    """Kills all targets of the pooled service and starts them again."""
    names = [n for n, _, _, s in harness.cluster.targets() if s.name == "pool"]
    await _restart_targets(harness, names)


OPERATIONS = {
    "zone drained": (_drain_zone, ("desk", "pool")),
    "zone lost": (_lose_zone, ("desk", "pool")),
    "all targets lost": (_lose_pool, ("pool",)),
}
"""By name of the outage: function that causes it, and services to measure."""


def _targets_in_zone(harness: history.Harness, zone: str) -> list[str]:
    return [
        name
        for name, target_zone, _, _ in harness.cluster.targets()
        if target_zone == zone
    ]


async def _restart_targets(harness, names: list[str]) -> None:
    for name in names:
        harness.kill(f"target:{name}")
    await asyncio.sleep(OUTAGE_SECONDS)
    for name in names:
        harness.cluster.start_target(name)


@contextlib.contextmanager
def _run_forwarder(harness: history.Harness):
    """Runs the baseline for the pool's targets and yields its address."""
    local_cluster = harness.cluster
    listen = f"{local_cluster.vm_ip(local_cluster.vms[0])}:{FORWARDER_PORT}"
    targets = [
        row[2] for row in local_cluster.targets() if row[3].name == "pool"
    ]
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
        with harness.cluster, _run_forwarder(harness) as forwarder:
            await harness.cluster.bring_up()
            entries = _entries_outside_zone(harness)
            load = generator.LoadGenerator(
                [forwarder] if baseline else entries, seed, harness.history
            )
            await _send_during(load, operation(harness), baseline)
            events = harness.read_history()
    return {
        service: _summarise(load, events, service, baseline)
        for service in ("desk", "pool")
        if not baseline or service == "pool"
    }


def _entries_outside_zone(harness: history.Harness) -> list[str]:
    """Returns the addresses of entries outside the zone.

    Avoiding lost entries is the task of the platform's load balancers, which
    the benchmark doesn't measure.
    """
    local_cluster = harness.cluster
    return [
        local_cluster.entry_address(vm)
        for vm in local_cluster.vms
        if local_cluster.zone_of(vm) != ZONE
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
    served = sum(
        report.codes[code] for report in reports for code in SERVED_CODES
    )
    times_by_key = [t for r in reports for t in r.answer_times.values()]
    return Sample(
        100 * served / calls,
        max((_longest_gap(times) for times in times_by_key), default=0.0),
        _count_events(events, kinds.EventKind.SEND, service) / calls,
        0.0
        if baseline
        else _count_events(events, kinds.EventKind.REPLY, service) / calls,
    )


def _longest_gap(times: list[float]) -> float:
    ordered = sorted(times)
    pairs = zip(ordered, ordered[1:], strict=False)
    return max((later - earlier for earlier, later in pairs), default=0.0)


def _count_events(
    events: list[dict], kind: kinds.EventKind, service: str
) -> int:
    return sum(e["kind"] == kind and e["service"] == service for e in events)


def _make_row(name: str, policy: str, service: str, samples) -> dict:
    row = {"event": name, "policy": policy, "service": service}
    row["answered, %"] = _format_range_or_dash([s.answered for s in samples])
    row["longest gap of a key, s"] = _format_range_or_dash(
        [s.gap for s in samples]
    )
    row["sends a call"] = _format_range_or_dash([s.sends for s in samples])
    row["tries at gates a call"] = _format_range_or_dash(
        [s.tries for s in samples]
    )
    return row


def _format_range_or_dash(values: list[float]) -> str:
    if not any(values):
        return "-"
    return results.format_range(values)


def run(seeds: int = 3, out: str = "build/outages.json") -> None:
    """Runs the benchmark and prints its table.

    Args:
        seeds: Number of seeds.
        out: Path of the JSON file.
    """
    env = context.Environment(sys.stdout)
    rows = []
    for name, (operation, services) in OPERATIONS.items():
        for policy, baseline in (("jujubeyard", False), ("round robin", True)):
            samples = [
                asyncio.run(_measure(operation, baseline, seed))
                for seed in range(seeds)
            ]
            rows += [
                _make_row(name, policy, service, [f[service] for f in samples])
                for service in services
                if service in samples[0]
            ]
            print(f"{name}, {policy}: measured", file=sys.stderr)
    tables.write_table(env, rows)
    results.write_json(out, rows)


if __name__ == "__main__":
    fire.Fire(run)
