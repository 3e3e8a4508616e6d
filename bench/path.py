"""Measures the whole path against a straight call and a naive forwarder.

python -m bench.path [--rounds 5] [--seconds 3]

All in one run, in turn: straight to the target, through a forwarder of one
aiohttp hop, through entry and gate. Prints medians over the rounds and writes
JSON.
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
MICROSECONDS = 1_000_000
HIGHEST_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGITS = 3
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
    """What one round of one path showed.

    Attributes:
        calls: Calls answered.
        rate: Calls a second.
        p50: Microseconds.
        p99: Microseconds.
        cpu: Microseconds of processor time a call, by role.
        memory: Resident megabytes, by role.
    """

    calls: int
    rate: float
    p50: int
    p99: int
    cpu: dict[str, float]
    memory: dict[str, float]


async def _send(url: str, concurrency: int, seconds: float):
    latency = histogram.HdrHistogram(
        1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    headers = {"X-Kind": "read", "X-Key": "k1", "X-Member": "m"}
    until = time.monotonic() + seconds

    async def send_many(session) -> int:
        count = 0
        while time.monotonic() < until:
            started = time.perf_counter()
            async with session.post(url, data=BODY, headers=headers) as resp:
                await resp.read()
                if resp.status != 200:
                    raise RuntimeError(f"HTTP {resp.status} from {url}")
            elapsed = time.perf_counter() - started
            latency.record_value(int(elapsed * MICROSECONDS))
            count += 1
        return count

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        counts = await asyncio.gather(
            *(send_many(session) for _ in range(concurrency))
        )
    return sum(counts), latency


async def _measure(url, roles: dict[str, int], concurrency, seconds) -> Sample:
    before = {role: procfs.cpu_seconds(pid) for role, pid in roles.items()}
    started = time.monotonic()
    calls, latency = await _send(url, concurrency, seconds)
    elapsed = time.monotonic() - started
    used = {
        role: (procfs.cpu_seconds(pid) - before[role]) * MICROSECONDS / calls
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
        used,
        memory,
    )


async def _run(rounds: int, seconds: float) -> dict:
    with tempfile.TemporaryDirectory(prefix="path-") as directory:
        fleet = cluster.Cluster(SPEC, pathlib.Path(directory))
        with fleet:
            await fleet.bring_up()
            return await _run_paths(fleet, rounds, seconds)


async def _run_paths(fleet, rounds: int, seconds: float) -> dict:
    target = fleet.target_address("desk-0")
    listen = f"{fleet.vm_ip('vm-0')}:8090"
    command = [sys.executable, "-m", "bench.forwarder", listen, target]
    forwarder = subprocess.Popen(command)
    pids = {name: p.pid for name, p in fleet.processes.items()}
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
        "jujubeyard": f"http://{fleet.entry_address('vm-0')}/desk/call",
    }
    samples: dict[str, list[Sample]] = {}
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        for url in urls.values():
            await _send(url, 8, WARM_UP_SECONDS)
        for number in range(rounds):
            for concurrency in CONCURRENCIES:
                for path, url in urls.items():
                    sample = await _measure(
                        url, roles[path], concurrency, seconds
                    )
                    samples.setdefault(f"{path}/{concurrency}", []).append(
                        sample
                    )
            print(f"round {number + 1} of {rounds}", file=sys.stderr)
    finally:
        forwarder.kill()
        forwarder.wait()
    return samples


def _summarise(samples: dict[str, list[Sample]]) -> list[dict]:
    rows = []
    for name, found in samples.items():
        path, _, concurrency = name.partition("/")
        own = [
            sum(us for role, us in s.cpu.items() if role != "target")
            for s in found
        ]
        parts = "; ".join(
            f"{role} {statistics.median(s.cpu[role] for s in found):.0f}"
            for role in found[0].cpu
        )
        rows.append(
            {
                "path": path,
                "in flight": concurrency,
                "calls/s": f"{statistics.median(s.rate for s in found):.0f}",
                "p50 us": int(statistics.median(s.p50 for s in found)),
                "p99 us": int(statistics.median(s.p99 for s in found)),
                "cpu us/call": f"{statistics.median(own):.0f}",
                "of which": parts,
            }
        )
    return rows


def _ratios(samples: dict[str, list[Sample]]) -> list[dict]:
    rows = []
    for concurrency in CONCURRENCIES:
        ours = samples[f"jujubeyard/{concurrency}"]
        naive = samples[f"forwarder/{concurrency}"]
        ratios = [
            (a.cpu["entry"] + a.cpu["gate"]) / b.cpu["forwarder"]
            for a, b in zip(ours, naive, strict=True)
        ]
        rows.append(
            {
                "in flight": concurrency,
                "entry + gate over forwarder, cpu a call": (
                    results.spread(ratios, ".2f")
                ),
            }
        )
    return rows


def run(
    rounds: int = 5, seconds: float = 3.0, out: str = "build/path.json"
) -> None:
    """Runs the benchmark.

    Args:
        rounds: Rounds of all paths in turn.
        seconds: Length of one measurement.
        out: Where the JSON goes.
    """
    env = context.Environment(sys.stdout)
    samples = asyncio.run(_run(rounds, seconds))
    tables.write_table(env, _summarise(samples))
    tables.write_lines(env, [""])
    tables.write_table(env, _ratios(samples))
    document = {
        name: [dataclasses.asdict(s) for s in found]
        for name, found in samples.items()
    }
    results.write_json(out, document)


if __name__ == "__main__":
    fire.Fire(run)
