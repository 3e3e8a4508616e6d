"""Compares the full call path with a direct call and a naive forwarder.

python -m bench.path [--rounds 5] [--seconds 3]

Each round measures calls sent directly to the target, through a forwarder with
one aiohttp hop, and through entry and gate. Prints medians over the rounds and
writes JSON.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import aiohttp
import fire
from hdrh import histogram

from bench import procfs
from bench import results
from jujubeyard import context
from jujubeyard.output import tables
from scripts import cluster
from scripts import specs

CONCURRENCIES = (1, 16, 64)
BODY = b"x" * 200
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 10_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
WARM_UP_SECONDS = 1.0
SPEC = specs.ClusterSpec(
    "path",
    ("a",),
    1,
    (
        specs.ServiceSpec(
            "desk",
            (specs.KindSpec("read", True, 0, 1.0, 5000),),
            1,
            keyed=True,
            shards=64,
            slots=128,
            cold_slots=128,
            warm_calls=0,
            work_ms=0.0,
            queue=2000,
        ),
    ),
    record_events=False,
)


@dataclasses.dataclass
class Sample:
    """Figures of one path in one round.

    Attributes:
        calls: Number of answered calls.
        rate: Calls per second.
        p50: Median latency in microseconds.
        p99: 99th percentile latency in microseconds.
        cpu: Processor time per call in microseconds, by role.
        memory: Resident memory in megabytes, by role.
    """

    calls: int
    rate: float
    p50: int
    p99: int
    cpu: dict[str, float]
    memory: dict[str, float]


async def _send_calls(url: str, concurrency: int, seconds: float):
    latency = histogram.HdrHistogram(
        1, MAX_LATENCY_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS
    )
    headers = {"X-Kind": "read", "X-Key": "k1", "X-Member": "m"}
    deadline = time.monotonic() + seconds

    async def send_sequentially(session) -> int:
        count = 0
        while time.monotonic() < deadline:
            started = time.perf_counter()
            async with session.post(url, data=BODY, headers=headers) as resp:
                await resp.read()
                if resp.status != 200:
                    raise RuntimeError(f"HTTP {resp.status} from {url}")
            elapsed = time.perf_counter() - started
            latency.record_value(int(elapsed * MICROSECONDS_PER_SECOND))
            count += 1
        return count

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        counts = await asyncio.gather(
            *(send_sequentially(session) for _ in range(concurrency))
        )
    return sum(counts), latency


async def _measure(url, roles: dict[str, int], concurrency, seconds) -> Sample:
    before = {role: procfs.cpu_seconds(pid) for role, pid in roles.items()}
    started = time.monotonic()
    calls, latency = await _send_calls(url, concurrency, seconds)
    elapsed = time.monotonic() - started
    cpu = {
        role: (procfs.cpu_seconds(pid) - before[role])
        * MICROSECONDS_PER_SECOND
        / calls
        for role, pid in roles.items()
    }
    memory = {
        role: procfs.resident_bytes(pid) / 1e6 for role, pid in roles.items()
    }
    return Sample(
        calls,
        calls / elapsed,
        latency.get_value_at_percentile(50),
        latency.get_value_at_percentile(99),
        cpu,
        memory,
    )


async def _run(rounds: int, seconds: float) -> dict:
    with tempfile.TemporaryDirectory(prefix="path-") as directory:
        local_cluster = cluster.Cluster(SPEC, pathlib.Path(directory))
        with local_cluster:
            await local_cluster.bring_up()
            return await _run_paths(local_cluster, rounds, seconds)


async def _run_paths(local_cluster, rounds: int, seconds: float) -> dict:
    target = local_cluster.target_address("desk-0")
    listen = f"{local_cluster.vm_ip('vm-0')}:8090"
    command = [sys.executable, "-m", "bench.forwarder", listen, target]
    forwarder = subprocess.Popen(command)
    pids = {name: p.pid for name, p in local_cluster.processes.items()}
    roles = {
        "straight": {"target": pids["target:desk-0"]},
        "forwarder": {
            "forwarder": forwarder.pid,
            "target": pids["target:desk-0"],
        },
        "jujubeyard": {
            "entry": pids["entry:vm-0"],
            "gate": pids["gate:vm-0"],
            "target": pids["target:desk-0"],
        },
    }
    urls = {
        "straight": f"http://{target}/call",
        "forwarder": f"http://{listen}/call",
        "jujubeyard": f"http://{local_cluster.entry_address('vm-0')}/desk/call",
    }
    samples: dict[str, list[Sample]] = {}
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        for url in urls.values():
            await _send_calls(url, 8, WARM_UP_SECONDS)
        for round_index in range(rounds):
            for concurrency in CONCURRENCIES:
                for path, url in urls.items():
                    sample = await _measure(
                        url, roles[path], concurrency, seconds
                    )
                    samples.setdefault(f"{path}/{concurrency}", []).append(
                        sample
                    )
            print(f"round {round_index + 1} of {rounds}", file=sys.stderr)
    finally:
        forwarder.kill()
        forwarder.wait()
    return samples


def _summarise(samples: dict[str, list[Sample]]) -> list[dict]:
    rows = []
    for name, runs in samples.items():
        path, _, concurrency = name.partition("/")
        router_cpu = [
            sum(us for role, us in s.cpu.items() if role != "target")
            for s in runs
        ]
        cpu_by_role = "; ".join(
            f"{role} {statistics.median(s.cpu[role] for s in runs):.0f}"
            for role in runs[0].cpu
        )
        rows.append(
            {
                "path": path,
                "in flight": concurrency,
                "calls/s": f"{statistics.median(s.rate for s in runs):.0f}",
                "p50 us": int(statistics.median(s.p50 for s in runs)),
                "p99 us": int(statistics.median(s.p99 for s in runs)),
                "cpu us/call": f"{statistics.median(router_cpu):.0f}",
                "of which": cpu_by_role,
            }
        )
    return rows


def _compare_cpu(samples: dict[str, list[Sample]]) -> list[dict]:
    rows = []
    for concurrency in CONCURRENCIES:
        router_samples = samples[f"jujubeyard/{concurrency}"]
        forwarder_samples = samples[f"forwarder/{concurrency}"]
        ratios = [
            (a.cpu["entry"] + a.cpu["gate"]) / b.cpu["forwarder"]
            for a, b in zip(router_samples, forwarder_samples, strict=True)
        ]
        rows.append(
            {
                "in flight": concurrency,
                "entry + gate over forwarder, cpu a call": (
                    results.format_range(ratios, ".2f")
                ),
            }
        )
    return rows


def run(
    rounds: int = 5, seconds: float = 3.0, out: str = "build/path.json"
) -> None:
    """Runs the benchmark and prints its tables.

    Args:
        rounds: Number of rounds; each measures all paths in turn.
        seconds: Duration of one measurement.
        out: Path of the JSON file.
    """
    env = context.Environment(sys.stdout)
    samples = asyncio.run(_run(rounds, seconds))
    tables.write_table(env, _summarise(samples))
    tables.write_lines(env, [""])
    tables.write_table(env, _compare_cpu(samples))
    document = {
        name: [dataclasses.asdict(s) for s in runs]
        for name, runs in samples.items()
    }
    results.write_json(out, document)


if __name__ == "__main__":
    fire.Fire(run)
