"""Compares decisions with naive baselines, on a virtual clock.

python -m bench.policy [--seeds 5]

For both users' sizes: imbalance and churn of key placement under a Zipf 1.0
load, and fairness and urgency of admission under twice the load that targets
bear. Plain decision code over tables; no processes. Prints medians and spreads
and writes JSON.
"""

import collections
import random
import sys

import fire
import xxhash

from bench import results
from jujubeyard import context
from jujubeyard import shards as shard_hash
from jujubeyard.admission import queue
from jujubeyard.manifest import loader
from jujubeyard.manifest import tables as config_tables
from jujubeyard.output import tables
from jujubeyard.plan import cluster_state
from jujubeyard.plan import planner
from jujubeyard.plan import tables as plan_tables
from jujubeyard.store import records

SIZES = {"collective": (20, 12, 512), "ledgerhevea": (15, 12, 480)}
"""Targets of the keyed service, gates, shards."""

KEYS = 20_000
CALLS = 200_000
SKEW = 1.0
MAX_HOT_SHARE = 0.9
"""Share of a target's mean load that the hottest key may take."""

RING_POINTS = 100
PLANS = 60
OVERLOAD = 2.0
MEMBERS = {"one": 1, "two": 2, "four": 4, "eight": 8}
"""Members, with how many times the least demand each one asks. All but the
first ask for more than an equal share."""

ROUNDS = 20_000
QUEUE_CAPACITY = 200


def _key_loads(seed: int, targets: int) -> dict[str, float]:
    """Returns calls by key, Zipf, the hottest cut to fit in one target."""
    rng = random.Random(seed)
    weights = [1.0 / rank**SKEW for rank in range(1, KEYS + 1)]
    total = sum(weights)
    limit = MAX_HOT_SHARE * CALLS / targets
    loads = {}
    for weight in weights:
        name = f"key-{rng.getrandbits(48):x}"
        loads[name] = min(limit, CALLS * weight / total)
    return loads


def _config(targets: int, shards: int, drained=()) -> config_tables.Config:
    document = {
        "cluster": "bench",
        "zones": ["a", "b", "c"],
        "service": [
            {
                "name": "desk",
                "keyed": True,
                "shards": shards,
                "kind": [{"name": "read", "idempotent": True}],
                "target": [
                    {
                        "name": f"desk-{n}",
                        "zone": "abc"[n % 3],
                        "address": f"127.0.0.{n + 1}:9000",
                    }
                    for n in range(targets)
                ],
            }
        ],
    }
    manifest = loader.validate_document(document, "bench")
    record = records.ConfigRecord(1, manifest, [], list(drained), {}, [])
    return config_tables.build_config(record)


def _observe(config, gates: int, loads=None) -> cluster_state.ClusterState:
    views = {
        f"vm{n}/1": cluster_state.GateView(
            f"vm{n}/1",
            "abc"[n % 3],
            f"127.0.1.{n}:1",
            10**6,
            10**6,
            False,
            frozenset(),
        )
        for n in range(gates)
    }
    controllers = {
        f"vm{n}/1": cluster_state.ControllerView(
            f"vm{n}/1", "abc"[n % 3], f"127.0.1.{n}:2"
        )
        for n in range(gates)
    }
    return cluster_state.ClusterState(
        config, views, controllers, loads=loads or {}, may_rebalance=True
    )


class ShardPolicy:
    """The project's own: shards, levelled by load."""

    name = "shards, levelled"

    def __init__(self, targets: int, gates: int, shards: int):
        self._sizes = (targets, gates, shards)
        config = _config(targets, shards)
        seen = _observe(config, gates)
        self._plan = planner.make_plan(plan_tables.Plan(), seen)

    def learn(self, loads: dict[str, float], drained=()) -> None:
        """Plans until nothing changes."""
        targets, gates, shards = self._sizes
        by_shard: dict[int, float] = collections.defaultdict(float)
        for key, load_ in loads.items():
            by_shard[shard_hash.shard_of("desk", key, shards)] += load_
        config = _config(targets, shards, drained)
        for _ in range(PLANS):
            seen = _observe(config, gates, {"desk": dict(by_shard)})
            made = planner.make_plan(self._plan, seen)
            if made is None:
                return
            self._plan = made

    def owner(self, key: str) -> str:
        """Returns the target of a key."""
        owners = self._plan.shards["desk"].owners
        return owners[shard_hash.shard_of("desk", key, len(owners))]


class ModuloPolicy:
    """Baseline: the hash of the key modulo the number of targets."""

    name = "modulo hash"

    def __init__(self, targets: int, gates: int, shards: int):
        del gates, shards
        self._all = [f"desk-{n}" for n in range(targets)]
        self._live = list(self._all)

    def learn(self, loads, drained=()) -> None:
        """Takes drained targets out."""
        del loads
        self._live = [name for name in self._all if name not in drained]

    def owner(self, key: str) -> str:
        """Returns the target of a key."""
        digest = xxhash.xxh3_64_intdigest(key.encode())
        return self._live[digest % len(self._live)]


class RingPolicy(ModuloPolicy):
    """Baseline: plain consistent hash."""

    name = "consistent hash"

    def __init__(self, targets: int, gates: int, shards: int):
        super().__init__(targets, gates, shards)
        self._ring = self._make_ring()

    def learn(self, loads, drained=()) -> None:
        """Takes drained targets out of the ring."""
        super().learn(loads, drained)
        self._ring = self._make_ring()

    def owner(self, key: str) -> str:
        """Returns the target of a key."""
        digest = xxhash.xxh3_64_intdigest(key.encode())
        low, high = 0, len(self._ring)
        while low < high:
            middle = (low + high) // 2
            if self._ring[middle][0] < digest:
                low = middle + 1
            else:
                high = middle
        return self._ring[low % len(self._ring)][1]

    def _make_ring(self) -> list[tuple[int, str]]:
        return sorted(
            (xxhash.xxh3_64_intdigest(f"{name}/{point}".encode()), name)
            for name in self._live
            for point in range(RING_POINTS)
        )


POLICIES = (ShardPolicy, ModuloPolicy, RingPolicy)


def _imbalance(policy, loads: dict[str, float], targets: int) -> float:
    sums: dict[str, float] = collections.defaultdict(float)
    for key, load_ in loads.items():
        sums[policy.owner(key)] += load_
    return max(sums.values()) / (sum(sums.values()) / targets)


def _churn(policy, loads) -> tuple[float, float]:
    """Returns shares of keys moved without need by a loss, and by a return."""
    before = {key: policy.owner(key) for key in loads}
    policy.learn(loads, ("desk-3",))
    during = {key: policy.owner(key) for key in loads}
    needless = sum(
        during[key] != owner
        for key, owner in before.items()
        if owner != "desk-3"
    )
    policy.learn(loads)
    after = {key: policy.owner(key) for key in loads}
    returned = sum(after[key] != during[key] for key in loads)
    return needless / len(loads), returned / len(loads)


def _measure_placement(seeds: int) -> list[dict]:
    rows = []
    for user, (targets, gates, shards) in SIZES.items():
        for make in POLICIES:
            found = []
            for seed in range(seeds):
                loads = _key_loads(seed, targets)
                policy = make(targets, gates, shards)
                policy.learn(loads)
                first = _imbalance(policy, loads, targets)
                found.append((first, *_churn(policy, loads)))
            rows.append(
                {
                    "user": user,
                    "policy": make.name,
                    "max/mean load": results.spread([f[0] for f in found]),
                    "keys moved needlessly by a loss, %": results.spread(
                        [100 * f[1] for f in found]
                    ),
                    "keys moved by a return, %": results.spread(
                        [100 * f[2] for f in found]
                    ),
                }
            )
    return rows


def _jain(values: list[float]) -> float:
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


class _Fifo:
    """Baseline: first come, first served, bounded."""

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._entries: collections.deque = collections.deque()

    def push(self, entry: queue.QueueEntry) -> queue.QueueEntry | None:
        """Adds an entry, or refuses it."""
        if len(self._entries) >= self._capacity:
            return entry
        self._entries.append(entry)
        return None

    def pop(self) -> queue.QueueEntry | None:
        """Removes the oldest entry."""
        return self._entries.popleft() if self._entries else None


def _admit(waiting, seed: int) -> tuple[float, float]:
    """Returns Jain's index over members, and the wait of urgent calls.

    Calls arrive at OVERLOAD times the rate at which they are served; one in
    20 is urgent. Waits are in units of the service time of one call.
    """
    rng = random.Random(seed)
    names = list(MEMBERS)
    demand = list(MEMBERS.values())
    served: collections.Counter = collections.Counter()
    waits = []
    for now in range(ROUNDS):
        for _ in range(int(OVERLOAD)):
            urgency = 0 if rng.random() < 0.05 else 5
            member = rng.choices(names, demand)[0]
            waiting.push(queue.QueueEntry(now, urgency, member, 1.0, 0.0))
        entry = waiting.pop()
        if entry is None:
            continue
        if entry.urgency == 0:
            waits.append(now - entry.item)
        else:
            served[entry.member] += 1
    greedy = [float(served[name]) for name in names[1:]]
    waits.sort()
    return _jain(greedy), waits[int(0.99 * len(waits))]


def _measure_admission(seeds: int) -> list[dict]:
    rows = []
    for name, make in (
        ("urgency and fair queueing", queue.AdmissionQueue),
        ("first come, first served", _Fifo),
    ):
        found = [_admit(make(QUEUE_CAPACITY), seed) for seed in range(seeds)]
        rows.append(
            {
                "policy": name,
                "Jain index of greedy members": results.spread(
                    [f[0] for f in found]
                ),
                "p99 wait of urgent calls, service times": results.spread(
                    [f[1] for f in found]
                ),
            }
        )
    return rows


def run(seeds: int = 5, out: str = "build/policy.json") -> None:
    """Runs the benchmark.

    Args:
        seeds: Number of seeds.
        out: Where the JSON goes.
    """
    env = context.Environment(sys.stdout)
    print("placing keys", file=sys.stderr)
    placement = _measure_placement(seeds)
    print("admitting calls", file=sys.stderr)
    admission = _measure_admission(seeds)
    tables.write_table(env, placement)
    tables.write_lines(env, [""])
    tables.write_table(env, admission)
    document = {"placement": placement, "admission": admission}
    results.write_json(out, document)


if __name__ == "__main__":
    fire.Fire(run)
