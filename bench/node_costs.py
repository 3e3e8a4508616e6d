"""Measures how the cost of a node's state and decisions grows with size.

Prints, for several numbers of targets and routes, the memory of a node's
tables, the time of the decisions on a call's path and in the leader's rounds,
and the size of its records. Times are medians of repeated runs in this process.
"""

import random
import statistics
import time
import tracemalloc

import fire

from jujubeyard.node import datagrams
from jujubeyard.ownership import demand
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.routing import coldstart
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.scheduling import balancing
from jujubeyard.targets import loads
from jujubeyard.targets import registry

MICROSECONDS_PER_SECOND = 1e6
ZONES = ("z1", "z2", "z3")
SLOTS = 6


def _fill_registry(targets: int) -> registry.Registry:
    target_registry = registry.Registry()
    for number in range(targets):
        listing = registry.Listing(
            f"i-{number:010x}",
            "desk",
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
            ZONES[number % len(ZONES)],
            SLOTS,
            False,
            0.0,
            1_776_851_943_024 + number,
        )
        target_registry.put(listing, 0.0)
        report = loads.LoadReport(number % SLOTS, 0, SLOTS, 1.0)
        target_registry.targets[listing.target_id].load.observe_report(
            report, 0.0
        )
    return target_registry


def _make_routes(count: int) -> match.RouteTable:
    routes = tuple(
        config.Route(
            f"r{number}",
            f"h{number % 50}.example",
            f"/p{number}/",
            (config.TrafficShare("desk", 1.0),),
            True,
            1.0,
            0.5,
            2,
            1,
        )
        for number in range(count)
    )
    return match.RouteTable(config.Configuration(1, routes, {}, 1))


def _make_table(candidates) -> table.ShardTable:
    return table.ShardTable(
        "desk", planner.make_initial_shards(candidates, 1 << 40), 1
    )


def _time_action(action, repeats: int) -> float:
    """Returns the median time of an action, in microseconds."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * MICROSECONDS_PER_SECOND


def _measure_memory(factory) -> tuple[object, float]:
    """Returns the result of a factory and its memory in KB."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = factory()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, (after - before) / 1024


def _measure_size(targets: int, repeats: int) -> dict[str, float]:
    rng = random.Random(targets)
    target_registry, registry_kb = _measure_memory(
        lambda: _fill_registry(targets)
    )
    routes, routes_kb = _measure_memory(lambda: _make_routes(targets * 4))
    listed_targets = target_registry.service_targets("desk")
    candidates = [
        planner.Candidate(
            table.Owner(t.listing.target_id, t.listing.born, t.listing.address),
            rng.uniform(20.0, 60.0),
            SLOTS,
        )
        for t in listed_targets
    ]
    shard_table, table_kb = _measure_memory(lambda: _make_table(candidates))
    rates = [rng.expovariate(0.2) for _ in shard_table.shards]
    nodes = [f"n{number}" for number in range(targets)]
    calls = {rng.randrange(demand.BUCKETS): 3 for _ in range(100)}
    report = demand.Report("desk", calls, {"i-1": (3, 0.5)})
    return {
        "targets": targets,
        "shards": len(shard_table.shards),
        "registry_kb": registry_kb,
        "routes_kb": routes_kb,
        "table_kb": table_kb,
        "record_bytes": len(table.encode(shard_table.shards)),
        "report_bytes": len(datagrams.encode(report)),
        "find_route_us": _time_action(
            lambda: routes.find("h7.example", "/p7/x"), repeats
        ),
        "find_owner_us": _time_action(
            lambda: shard_table.find(40_000), repeats
        ),
        "choose_us": _time_action(
            lambda: balancing.choose_target(listed_targets, "z1", 12, 0.1, rng),
            repeats,
        ),
        "sponsors_us": _time_action(
            lambda: coldstart.choose_senders("i-1", nodes, 21.5), repeats
        ),
        "rebalance_us": _time_action(
            lambda: planner.rebalance(shard_table.shards, rates, candidates),
            max(3, repeats // 20),
        ),
        "rehome_us": _time_action(
            lambda: planner.reassign_orphaned_shards(
                shard_table.shards, rates, candidates[1:], set()
            ),
            max(3, repeats // 20),
        ),
    }


def main(repeats: int = 200) -> None:
    """Prints the costs at several numbers of targets.

    Args:
        repeats: Number of timed runs of each decision on a call's path; the
            leader's rounds are run fewer times.
    """
    rows = [_measure_size(size, repeats) for size in (20, 40, 140, 500)]
    for name in rows[0]:
        print(f"{name:14}" + "".join(f"{row[name]:12.1f}" for row in rows))


if __name__ == "__main__":
    fire.Fire(main)
