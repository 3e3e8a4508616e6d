"""Measures tail latency while some targets are temporarily slow.

python -m bench.stragglers [--seeds 3]

Runs ten targets of a service without keys as real processes and slows two of
them tenfold for a few seconds. Compares no slow targets, slow targets with
hedged calls, and slow targets without. Then runs ten targets of a keyed service
with urgent and bulk calls, with and without slow targets, and counts the shards
that moved. All modes are measured in the same run. Prints medians and ranges
over the seeds and writes JSON.
"""

import asyncio
import pathlib
import sys
import tempfile

import fire

from bench import results
from jujubeyard import context
from jujubeyard.load import generator
from jujubeyard.output import tables
from scripts import cluster
from scripts import specs

SLOW_FACTOR = 10.0
SLOW_TARGETS = 2
SLOW_SECONDS = 2.0
MEASURE_SECONDS = 6.0
WARM_UP_SECONDS = 3.0
CALLS_PER_SECOND = 200.0
POOLED_STREAM = generator.Stream("pool", "look", True, CALLS_PER_SECOND)
POOLED_MODES = {
    "no slow targets": (True, False),
    "slow targets, hedged": (True, True),
    "slow targets, not hedged": (False, True),
}
"""By mode: whether calls are hedged, and whether targets are slowed."""

UNIT_BY_FIGURE = {"p50": " ms", "p99": " ms", "p99.9": " ms", "hedged": " %"}
KEYED_STREAMS = [
    generator.Stream("desk", "urgent", True, 60.0, 400),
    generator.Stream("desk", "bulk", True, 240.0, 400),
]
KEYED_MODES = {"no slow targets": False, "slow targets": True}


def _make_pooled_spec(hedge: bool) -> specs.ClusterSpec:
    service = specs.ServiceSpec(
        "pool",
        (specs.KindSpec("look", True, 1, 1.0, 4000),),
        10,
        work_ms=10.0,
        hedge=hedge,
    )
    return specs.ClusterSpec(
        "stragglers", ("a", "b", "c"), 3, (service,), record_events=False
    )


def _make_keyed_spec() -> specs.ClusterSpec:
    service = specs.ServiceSpec(
        "desk",
        (
            specs.KindSpec("urgent", True, 0, 1.0, 4000),
            specs.KindSpec("bulk", True, 5, 1.0, 4000),
        ),
        10,
        keyed=True,
        work_ms=10.0,
        checks_grants=True,
    )
    return specs.ClusterSpec(
        "stragglers", ("a", "b", "c"), 3, (service,), record_events=False
    )


async def _measure_keyed(slow: bool, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="stragglers-") as directory:
        local_cluster = cluster.Cluster(
            _make_keyed_spec(), pathlib.Path(directory)
        )
        with local_cluster:
            await local_cluster.bring_up()
            entries = [
                local_cluster.entry_address(vm) for vm in local_cluster.vms
            ]
            warm_up = generator.LoadGenerator(entries, seed)
            await warm_up.run(KEYED_STREAMS, WARM_UP_SECONDS)
            before = await _read_owners(local_cluster)
            load = generator.LoadGenerator(entries, seed)
            await asyncio.gather(
                load.run(KEYED_STREAMS, MEASURE_SECONDS),
                _slow_targets_in_turn(local_cluster, slow),
            )
            after = await _read_owners(local_cluster)
    figures = {}
    for kind in ("urgent", "bulk"):
        latency = load.reports["desk", kind].latency
        for percentile in (50, 99):
            value = latency.get_value_at_percentile(percentile) / 1000
            figures[f"p{percentile} {kind}"] = value
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    figures["shards moved"] = float(moved)
    figures["failed"] = float(
        sum(
            count
            for report in load.reports.values()
            for code, count in report.codes.items()
            if code != 100
        )
    )
    return figures


async def _read_owners(local_cluster: cluster.Cluster) -> list[str]:
    status = await local_cluster.status("controller", local_cluster.vms[0])
    return status["owners"]["desk"]


async def _measure_pooled(
    hedge: bool, slow: bool, seed: int
) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="stragglers-") as directory:
        local_cluster = cluster.Cluster(
            _make_pooled_spec(hedge), pathlib.Path(directory)
        )
        with local_cluster:
            await local_cluster.bring_up()
            entries = [
                local_cluster.entry_address(vm) for vm in local_cluster.vms
            ]
            warm_up = generator.LoadGenerator(entries, seed)
            await warm_up.run([POOLED_STREAM], WARM_UP_SECONDS)
            before = await _count_hedged_calls(local_cluster)
            load = generator.LoadGenerator(entries, seed)
            await asyncio.gather(
                load.run([POOLED_STREAM], MEASURE_SECONDS),
                _slow_targets_in_turn(local_cluster, slow),
            )
            hedged = await _count_hedged_calls(local_cluster) - before
    report = load.reports["pool", "look"]
    calls = sum(report.codes.values())
    return {
        "p50": report.latency.get_value_at_percentile(50) / 1000,
        "p99": report.latency.get_value_at_percentile(99) / 1000,
        "p99.9": report.latency.get_value_at_percentile(99.9) / 1000,
        "hedged": 100 * hedged / calls,
        "failed": float(calls - report.codes[100]),
    }


async def _slow_targets_in_turn(
    local_cluster: cluster.Cluster, slow: bool
) -> None:
    if not slow:
        return
    names = [name for name, _, _, _ in local_cluster.targets()]
    for first in (0, 5):
        chosen = names[first : first + SLOW_TARGETS]
        await _set_slow_factor(local_cluster, chosen, SLOW_FACTOR)
        await asyncio.sleep(SLOW_SECONDS)
        await _set_slow_factor(local_cluster, chosen, 1.0)
        await asyncio.sleep(SLOW_SECONDS / 4)


async def _set_slow_factor(
    local_cluster, names: list[str], factor: float
) -> None:
    for name in names:
        address = local_cluster.target_address(name)
        await local_cluster.put(address, "/-/control", {"slow_factor": factor})


async def _count_hedged_calls(local_cluster: cluster.Cluster) -> int:
    statuses = [
        await local_cluster.status("gate", vm) for vm in local_cluster.vms
    ]
    return sum(status["hedged"] for status in statuses)


def run(seeds: int = 3, out: str = "build/stragglers.json") -> None:
    """Runs the benchmark and prints its tables.

    Args:
        seeds: Number of seeds.
        out: Path of the JSON file.
    """
    env = context.Environment(sys.stdout)
    pooled: dict[str, list[dict]] = {name: [] for name in POOLED_MODES}
    for seed in range(seeds):
        for name, (hedge, slow) in POOLED_MODES.items():
            pooled[name].append(asyncio.run(_measure_pooled(hedge, slow, seed)))
        print(f"seed {seed} measured", file=sys.stderr)
    keyed: dict[str, list[dict]] = {name: [] for name in KEYED_MODES}
    for seed in range(seeds):
        for name, slow in KEYED_MODES.items():
            keyed[name].append(asyncio.run(_measure_keyed(slow, seed)))
        print(f"seed {seed} measured with keys", file=sys.stderr)
    tables.write_table(env, _make_rows(pooled))
    tables.write_lines(env, [""])
    tables.write_table(env, _make_rows(keyed))
    document = {"pooled": pooled, "keyed": keyed}
    results.write_json(out, document)


def _make_rows(samples_by_mode: dict[str, list[dict]]) -> list[dict]:
    rows = []
    for name, samples in samples_by_mode.items():
        row = {"mode": name}
        for figure in samples[0]:
            values = [sample[figure] for sample in samples]
            unit = UNIT_BY_FIGURE.get(figure.split()[0], "")
            row[figure + unit] = results.format_range(values, ".1f")
        rows.append(row)
    return rows


if __name__ == "__main__":
    fire.Fire(run)
