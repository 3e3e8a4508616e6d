"""Measures how control overhead grows with size, for docs/CAPACITY.md.

python -m bench.capacity [--seconds 10]

Runs idle clusters of real processes at several sizes and measures processor
time, memory and link traffic of each role, and requests to the store. Then
measures the size, memory and processing times of a plan at several numbers of
shards, and the memory of remembered request ids. Prints each figure with its
least-squares line and writes JSON.
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
from jujubeyard.manifest import loader
from jujubeyard.manifest import tables as config_tables
from jujubeyard.output import tables
from jujubeyard.plan import cluster_state
from jujubeyard.plan import codec
from jujubeyard.plan import planner
from jujubeyard.plan import tables as plan_tables
from jujubeyard.store import records
from scripts import cluster
from scripts import specs

VM_COUNTS = (3, 6, 12, 24)
TARGET_COUNTS = (6, 24, 48)
SHARD_COUNTS = (1024, 8192, 65536)
REQUEST_ID_COUNTS = (1000, 10_000, 100_000)
DEFAULT_TARGETS = 6
DEFAULT_VMS = 6
ROLES = ("entry", "gate", "controller")
TIMING_REPEATS = 5


@dataclasses.dataclass
class IdleUsage:
    """Resource use of an idle cluster; means over the VMs for each role.

    Attributes:
        cpu: Percentage of a core used by a process, by role.
        memory: Resident memory of a process in megabytes, by role.
        sent: Kilobytes per second that a process sends on links, by role.
        received: Kilobytes per second that a process receives on links, by
            role.
        store_calls: Requests to the store per second, by path.
    """

    cpu: dict[str, float]
    memory: dict[str, float]
    sent: dict[str, float]
    received: dict[str, float]
    store_calls: dict[str, float]


def _make_spec(vms: int, targets: int) -> specs.ClusterSpec:
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


async def _measure_idle(vms: int, targets: int, seconds: float) -> IdleUsage:
    with tempfile.TemporaryDirectory(prefix="capacity-") as directory:
        local_cluster = cluster.Cluster(
            _make_spec(vms, targets), pathlib.Path(directory)
        )
        with local_cluster:
            await local_cluster.bring_up()
            await asyncio.sleep(seconds / 2)
            before = await _read_counters(local_cluster)
            started = time.monotonic()
            await asyncio.sleep(seconds)
            elapsed = time.monotonic() - started
            after = await _read_counters(local_cluster)
    return _compute_usage(before, after, elapsed)


async def _read_counters(local_cluster: cluster.Cluster) -> dict:
    counters = {
        "store": await local_cluster.get(local_cluster.store_address, "/calls")
    }
    for role in ROLES:
        counters[role] = []
        for vm in local_cluster.vms:
            pid = local_cluster.processes[f"{role}:{vm}"].pid
            status = await local_cluster.status(role, vm)
            counters[role].append(
                (
                    procfs.cpu_seconds(pid),
                    procfs.resident_bytes(pid),
                    status["link_bytes"]["sent"],
                    status["link_bytes"]["received"],
                )
            )
    return counters


def _compute_usage(before: dict, after: dict, elapsed: float) -> IdleUsage:
    def mean(role: str, index: int, factor: float) -> float:
        rows = zip(before[role], after[role], strict=True)
        return statistics.mean((b[index] - a[index]) for a, b in rows) * factor

    memory = {
        role: statistics.mean(row[1] for row in after[role]) / 1e6
        for role in ROLES
    }
    calls = {
        path: (count - before["store"].get(path, 0)) / elapsed
        for path, count in after["store"].items()
    }
    return IdleUsage(
        {role: mean(role, 0, 100 / elapsed) for role in ROLES},
        memory,
        {role: mean(role, 2, 1 / elapsed / 1000) for role in ROLES},
        {role: mean(role, 3, 1 / elapsed / 1000) for role in ROLES},
        calls,
    )


def _fit_line(sizes, values) -> tuple[float, float]:
    """Returns the intercept and slope of the least-squares line."""
    line = statistics.linear_regression(sizes, values)
    return line.intercept, line.slope


def _make_row(name: str, unit: str, sizes, values) -> dict:
    intercept, slope = _fit_line(sizes, values)
    values_by_size = ", ".join(
        f"{s}: {v:.3g}" for s, v in zip(sizes, values, strict=True)
    )
    return {
        "figure": name,
        "unit": unit,
        "at each size": values_by_size,
        "line": f"{intercept:.3g} + {slope:.3g} n",
    }


def _make_idle_rows(
    size_name: str, sizes, usages: list[IdleUsage]
) -> list[dict]:
    rows = []
    for role in ROLES:
        for attribute, unit in (
            ("cpu", "% of a core"),
            ("memory", "MB"),
            ("sent", "KB/s"),
            ("received", "KB/s"),
        ):
            values = [getattr(usage, attribute)[role] for usage in usages]
            name = f"{role} {attribute} by {size_name}"
            rows.append(_make_row(name, unit, sizes, values))
    for path in ("/v3/kv/range", "/v3/kv/txn", "/v3/watch", "/v1/vms"):
        values = [usage.store_calls.get(path, 0.0) for usage in usages]
        rows.append(
            _make_row(f"{path} by {size_name}", "calls/s", sizes, values)
        )
    return rows


def _measure_plan_rows() -> list[dict]:
    sizes, encode_ms, decode_ms, make_ms, memory_kb, size_kb = (
        SHARD_COUNTS,
        [],
        [],
        [],
        [],
        [],
    )
    for shards in sizes:
        config = _make_config(shards)
        state = _make_cluster_state(config)
        plan = planner.make_plan(plan_tables.Plan(), state)
        body = codec.encode_plan(plan)
        size_kb.append(len(body) / 1000)
        encode_ms.append(
            _measure_milliseconds(lambda p=plan: codec.encode_plan(p))
        )
        decode_ms.append(
            _measure_milliseconds(lambda b=body: codec.decode_plan(b))
        )
        make_ms.append(
            _measure_milliseconds(
                lambda p=plan, s=state: planner.make_plan(p, s)
            )
        )
        memory_kb.append(
            _measure_kilobytes(lambda b=body: codec.decode_plan(b))
        )
    return [
        _make_row("plan size by shards", "KB", sizes, size_kb),
        _make_row("encode a plan", "ms", sizes, encode_ms),
        _make_row("decode a plan", "ms", sizes, decode_ms),
        _make_row("make a plan", "ms", sizes, make_ms),
        _make_row("decoded plan", "KB", sizes, memory_kb),
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
    manifest = loader.validate_document(document, "capacity")
    record = records.ConfigRecord(1, manifest, [], [], {}, [])
    return config_tables.build_config(record)


def _make_cluster_state(config) -> cluster_state.ClusterState:
    gates = {
        f"vm{n}/1": cluster_state.GateView(
            f"vm{n}/1", "a", f"127.0.1.{n}:1", 0, 0, False, frozenset()
        )
        for n in range(24)
    }
    controllers = {
        f"vm{n}/1": cluster_state.ControllerView(f"vm{n}/1", "a", "127.0.1.1:1")
        for n in range(24)
    }
    return cluster_state.ClusterState(config, gates, controllers)


def _measure_milliseconds(action) -> float:
    """Returns the median processor time of an action, in milliseconds."""
    times = []
    for _ in range(TIMING_REPEATS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def _measure_kilobytes(action) -> float:
    """Returns the memory of an action's result, in kilobytes."""
    tracemalloc.start()
    result = action()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size / 1000


def _measure_request_id_rows() -> list[dict]:
    def fill(count: int) -> dedupe.DedupeTable:
        table = dedupe.DedupeTable()
        for number in range(count):
            request_id = generator.make_request_id()
            record = dedupe.IdRecord("desk", number % 64, request_id, 1.0, None)
            table.add(record)
        return table

    values = [
        _measure_kilobytes(lambda c=count: fill(c))
        for count in REQUEST_ID_COUNTS
    ]
    return [_make_row("remembered ids", "KB", REQUEST_ID_COUNTS, values)]


def run(seconds: float = 10.0, out: str = "build/capacity.json") -> None:
    """Runs all measurements and prints their table.

    Args:
        seconds: Duration of the measurement of each idle cluster.
        out: Path of the JSON file.
    """
    env = context.Environment(sys.stdout)
    rows = _measure_plan_rows() + _measure_request_id_rows()
    usages = []
    for vms in VM_COUNTS:
        usages.append(asyncio.run(_measure_idle(vms, DEFAULT_TARGETS, seconds)))
        print(f"{vms} VMs measured", file=sys.stderr)
    rows += _make_idle_rows("VMs", VM_COUNTS, usages)
    usages = []
    for targets in TARGET_COUNTS:
        usages.append(asyncio.run(_measure_idle(DEFAULT_VMS, targets, seconds)))
        print(f"{targets} targets measured", file=sys.stderr)
    rows += _make_idle_rows("targets", TARGET_COUNTS, usages)
    tables.write_table(env, rows)
    results.write_json(out, rows)


if __name__ == "__main__":
    fire.Fire(run)
