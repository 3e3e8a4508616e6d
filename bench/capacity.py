"""Measures slopes of control cost for docs/CAPACITY.md.

python -m bench.capacity [--seconds 10]

Idle clusters of real processes at several sizes: processor time, memory and
link bytes of each role, and calls to the store. Then the plan at several
numbers of shards. Prints each figure with its least-squares line.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc

import fire

from bench import procfs
from bench import results
from jujubeyard import context
from jujubeyard.admission import dedupe
from jujubeyard.load import generator
from jujubeyard.manifest import load
from jujubeyard.manifest import tables as config_tables
from jujubeyard.output import tables
from jujubeyard.plan import codec
from jujubeyard.plan import observation
from jujubeyard.plan import planner
from jujubeyard.plan import tables as plan_tables
from jujubeyard.store import records
from scripts import cluster
from scripts import specs

VM_COUNTS = (3, 6, 12, 24)
TARGET_COUNTS = (6, 24, 48)
SHARD_COUNTS = (1024, 8192, 65536)
ID_COUNTS = (1000, 10_000, 100_000)
TARGETS = 6
VMS = 6
ROLES = ("entry", "gate", "controller")
REPEATS = 5


@dataclasses.dataclass
class Idle:
    """What an idle cluster cost, per process and second.

    Attributes:
        cpu: Percent of a core, by role, mean over the VMs.
        memory: Resident megabytes, by role, mean over the VMs.
        sent: Link kilobytes a second sent, by role, mean over the VMs.
        received: The same, received.
        store_calls: Calls to the store a second, by path.
    """

    cpu: dict[str, float]
    memory: dict[str, float]
    sent: dict[str, float]
    received: dict[str, float]
    store_calls: dict[str, float]


def _spec(vms: int, targets: int) -> specs.ClusterSpec:
    service = specs.ServiceSpec(
        "desk",
        (specs.KindSpec("read", True),),
        targets,
        keyed=True,
        shards=256,
        checks_grants=True,
    )
    return specs.ClusterSpec(
        "capacity", ("a", "b", "c"), vms, (service,), record_events=False
    )


async def _measure_idle(vms: int, targets: int, seconds: float) -> Idle:
    with tempfile.TemporaryDirectory(prefix="capacity-") as directory:
        fleet = cluster.Cluster(_spec(vms, targets), pathlib.Path(directory))
        with fleet:
            await fleet.bring_up()
            await asyncio.sleep(seconds / 2)
            before = await _read(fleet)
            started = time.monotonic()
            await asyncio.sleep(seconds)
            elapsed = time.monotonic() - started
            after = await _read(fleet)
    return _difference(before, after, elapsed)


async def _read(fleet: cluster.Cluster) -> dict:
    found = {"store": await fleet.get(fleet.store_address, "/calls")}
    for role in ROLES:
        found[role] = []
        for vm in fleet.vms:
            pid = fleet.processes[f"{role}:{vm}"].pid
            status = await fleet.status(role, vm)
            found[role].append(
                (
                    procfs.cpu_seconds(pid),
                    procfs.resident_bytes(pid),
                    status["link_bytes"]["sent"],
                    status["link_bytes"]["received"],
                )
            )
    return found


def _difference(before: dict, after: dict, elapsed: float) -> Idle:
    def mean(role: str, index: int, scale: float) -> float:
        rows = zip(before[role], after[role], strict=True)
        return statistics.mean((b[index] - a[index]) for a, b in rows) * scale

    memory = {
        role: statistics.mean(row[1] for row in after[role]) / 1e6
        for role in ROLES
    }
    calls = {
        path: (count - before["store"].get(path, 0)) / elapsed
        for path, count in after["store"].items()
    }
    return Idle(
        {role: mean(role, 0, 100 / elapsed) for role in ROLES},
        memory,
        {role: mean(role, 2, 1 / elapsed / 1000) for role in ROLES},
        {role: mean(role, 3, 1 / elapsed / 1000) for role in ROLES},
        calls,
    )


def _fit(sizes, values) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares line."""
    line = statistics.linear_regression(sizes, values)
    return line.intercept, line.slope


def _line(name: str, unit: str, sizes, values) -> dict:
    intercept, slope = _fit(sizes, values)
    shown = ", ".join(
        f"{s}: {v:.3g}" for s, v in zip(sizes, values, strict=True)
    )
    return {
        "figure": name,
        "unit": unit,
        "at each size": shown,
        "line": f"{intercept:.3g} + {slope:.3g} n",
    }


def _idle_rows(what: str, sizes, found: list[Idle]) -> list[dict]:
    rows = []
    for role in ROLES:
        for attribute, unit in (
            ("cpu", "% of a core"),
            ("memory", "MB"),
            ("sent", "KB/s"),
            ("received", "KB/s"),
        ):
            values = [getattr(idle, attribute)[role] for idle in found]
            name = f"{role} {attribute} by {what}"
            rows.append(_line(name, unit, sizes, values))
    for path in ("/v3/kv/range", "/v3/kv/txn", "/v3/watch", "/v1/vms"):
        values = [idle.store_calls.get(path, 0.0) for idle in found]
        rows.append(_line(f"{path} by {what}", "calls/s", sizes, values))
    return rows


def _plan_rows() -> list[dict]:
    sizes, encode, decode, make, memory, volume = (
        SHARD_COUNTS,
        [],
        [],
        [],
        [],
        [],
    )
    for shards in sizes:
        config = _make_config(shards)
        seen = _make_observation(config)
        plan = planner.make_plan(plan_tables.Plan(), seen)
        body = codec.encode_plan(plan)
        volume.append(len(body) / 1000)
        encode.append(_time(lambda p=plan: codec.encode_plan(p)))
        decode.append(_time(lambda b=body: codec.decode_plan(b)))
        make.append(_time(lambda p=plan, s=seen: planner.make_plan(p, s)))
        memory.append(_memory(lambda b=body: codec.decode_plan(b)))
    return [
        _line("plan size by shards", "KB", sizes, volume),
        _line("encode a plan", "ms", sizes, encode),
        _line("decode a plan", "ms", sizes, decode),
        _line("make a plan", "ms", sizes, make),
        _line("decoded plan", "KB", sizes, memory),
    ]


def _make_config(shards: int) -> config_tables.Config:
    targets = [
        {
            "name": f"desk-{n}",
            "zone": "a",
            "address": f"127.0.0.{n + 1}:9000",
        }
        for n in range(48)
    ]
    document = {
        "cluster": "capacity",
        "zones": ["a"],
        "service": [
            {
                "name": "desk",
                "keyed": True,
                "shards": shards,
                "kind": [{"name": "read", "idempotent": True}],
                "target": targets,
            }
        ],
    }
    manifest = load.check_document(document, "capacity")
    record = records.ConfigRecord(1, manifest, [], [], {}, [])
    return config_tables.build_config(record)


def _make_observation(config) -> observation.Observation:
    gates = {
        f"vm{n}/1": observation.GateView(
            f"vm{n}/1", "a", f"127.0.1.{n}:1", 0, 0, False, frozenset()
        )
        for n in range(24)
    }
    controllers = {
        f"vm{n}/1": observation.ControllerView(f"vm{n}/1", "a", "127.0.1.1:1")
        for n in range(24)
    }
    return observation.Observation(config, gates, controllers)


def _time(action) -> float:
    """Returns the median time of an action, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def _memory(action) -> float:
    """Returns the memory that an action's result takes, in kilobytes."""
    tracemalloc.start()
    kept = action()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000


def _id_rows() -> list[dict]:
    def fill(count: int) -> dedupe.DedupeTable:
        table = dedupe.DedupeTable()
        for number in range(count):
            request_id = generator.make_request_id()
            row = dedupe.IdRow("desk", number % 64, request_id, 1.0, None)
            table.add(row)
        return table

    values = [_memory(lambda c=count: fill(c)) for count in ID_COUNTS]
    return [_line("remembered ids", "KB", ID_COUNTS, values)]


def run(seconds: float = 10.0, out: str = "build/capacity.json") -> None:
    """Runs all measurements.

    Args:
        seconds: How long each idle cluster is watched.
        out: Where the JSON goes.
    """
    env = context.Environment(sys.stdout)
    rows = _plan_rows() + _id_rows()
    found = []
    for vms in VM_COUNTS:
        found.append(asyncio.run(_measure_idle(vms, TARGETS, seconds)))
        print(f"{vms} VMs measured", file=sys.stderr)
    rows += _idle_rows("VMs", VM_COUNTS, found)
    found = []
    for targets in TARGET_COUNTS:
        found.append(asyncio.run(_measure_idle(VMS, targets, seconds)))
        print(f"{targets} targets measured", file=sys.stderr)
    rows += _idle_rows("targets", TARGET_COUNTS, found)
    tables.write_table(env, rows)
    results.write_json(out, rows)


if __name__ == "__main__":
    fire.Fire(run)
