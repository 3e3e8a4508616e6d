"""Compares placement and admission decisions with baselines.

python -m bench.policy [--seeds 5]

Measures, at the cluster sizes of both users, the imbalance and churn of key
placement under a Zipf 1.0 load, and the fairness and urgent-call waits of
admission at twice the load that targets can handle. Runs the decision code on a
virtual clock without starting processes. Prints medians and ranges and writes
JSON.
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

CLUSTER_SIZES = {"collective": (20, 12, 512), "ledgerhevea": (15, 12, 480)}
"""By user: number of targets of the keyed service, gates and shards."""

KEY_COUNT = 20_000
CALL_COUNT = 200_000
ZIPF_EXPONENT = 1.0
MAX_KEY_LOAD_SHARE = 0.9
"""Maximum load of one key, as a share of the mean load of a target."""

RING_POINTS_PER_TARGET = 100
MAX_PLANS = 60
OVERLOAD_FACTOR = 2.0
DEMAND_BY_MEMBER = {"one": 1, "two": 2, "four": 4, "eight": 8}
"""Relative demand by member; all but the first exceed an equal share."""

ADMISSION_ROUNDS = 20_000
QUEUE_CAPACITY = 200


def _key_loads(seed: int, targets: int) -> dict[str, float]:
    """Returns Zipf-distributed calls by key, each capped to fit one target."""
    rng = random.Random(seed)
    weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, KEY_COUNT + 1)]
    total = sum(weights)
    limit = MAX_KEY_LOAD_SHARE * CALL_COUNT / targets
    loads = {}
    for weight in weights:
        name = f"key-{rng.getrandbits(48):x}"
        loads[name] = min(limit, CALL_COUNT * weight / total)
    return loads


def _make_config(targets: int, shards: int, drained=()) -> config_tables.Config:
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


def _make_cluster_state(
    config, gates: int, loads=None
) -> cluster_state.ClusterState:
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
    """The policy of jujubeyard: shards rebalanced by load."""

    name = "shards, levelled"

    def __init__(self, targets: int, gates: int, shards: int):
        self._sizes = (targets, gates, shards)
        config = _make_config(targets, shards)
        state = _make_cluster_state(config, gates)
        self._plan = planner.make_plan(plan_tables.Plan(), state)

    def update(self, loads: dict[str, float], drained=()) -> None:
        """Applies loads and drained targets, planning until nothing changes."""
        targets, gates, shards = self._sizes
        by_shard: dict[int, float] = collections.defaultdict(float)
        for key, calls in loads.items():
            by_shard[shard_hash.shard_of("desk", key, shards)] += calls
        config = _make_config(targets, shards, drained)
        for _ in range(MAX_PLANS):
            state = _make_cluster_state(config, gates, {"desk": dict(by_shard)})
            next_plan = planner.make_plan(self._plan, state)
            if next_plan is None:
                return
            self._plan = next_plan

    def find_owner(self, key: str) -> str:
        """Returns the target that owns a key."""
        owners = self._plan.shards["desk"].owners
        return owners[shard_hash.shard_of("desk", key, len(owners))]


class ModuloPolicy:
    """Baseline: hash of the key modulo the number of targets."""

    name = "modulo hash"

    def __init__(self, targets: int, gates: int, shards: int):
        del gates, shards
        self._targets = [f"desk-{n}" for n in range(targets)]
        self._live_targets = list(self._targets)

    def update(self, loads, drained=()) -> None:
        """Removes drained targets."""
        del loads
        self._live_targets = [
            name for name in self._targets if name not in drained
        ]

    def find_owner(self, key: str) -> str:
        """Returns the target that owns a key."""
        digest = xxhash.xxh3_64_intdigest(key.encode())
        return self._live_targets[digest % len(self._live_targets)]


class RingPolicy(ModuloPolicy):
    """Baseline: consistent hashing without regard to load."""

    name = "consistent hash"

    def __init__(self, targets: int, gates: int, shards: int):
        super().__init__(targets, gates, shards)
        self._ring = self._make_ring()

    def update(self, loads, drained=()) -> None:
        """Rebuilds the ring without drained targets."""
        super().update(loads, drained)
        self._ring = self._make_ring()

    def find_owner(self, key: str) -> str:
        """Returns the target that owns a key."""
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
            for name in self._live_targets
            for point in range(RING_POINTS_PER_TARGET)
        )


POLICIES = (ShardPolicy, ModuloPolicy, RingPolicy)


def _measure_imbalance(policy, loads: dict[str, float], targets: int) -> float:
    target_loads: dict[str, float] = collections.defaultdict(float)
    for key, calls in loads.items():
        target_loads[policy.find_owner(key)] += calls
    return max(target_loads.values()) / (sum(target_loads.values()) / targets)


def _measure_churn(policy, loads) -> tuple[float, float]:
    """Measures the keys moved when one target is lost and returns.

    Returns:
        Keys of other targets that moved at the loss, and keys that moved at
        the return, each as a share of all keys.
    """
    before = {key: policy.find_owner(key) for key in loads}
    policy.update(loads, ("desk-3",))
    during = {key: policy.find_owner(key) for key in loads}
    needless = sum(
        during[key] != owner
        for key, owner in before.items()
        if owner != "desk-3"
    )
    policy.update(loads)
    after = {key: policy.find_owner(key) for key in loads}
    returned = sum(after[key] != during[key] for key in loads)
    return needless / len(loads), returned / len(loads)


def _measure_placement(seeds: int) -> list[dict]:
    rows = []
    for user, (targets, gates, shards) in CLUSTER_SIZES.items():
        for policy_class in POLICIES:
            samples = []
            for seed in range(seeds):
                loads = _key_loads(seed, targets)
                policy = policy_class(targets, gates, shards)
                policy.update(loads)
                imbalance = _measure_imbalance(policy, loads, targets)
                samples.append((imbalance, *_measure_churn(policy, loads)))
            rows.append(
                {
                    "user": user,
                    "policy": policy_class.name,
                    "max/mean load": results.format_range(
                        [f[0] for f in samples]
                    ),
                    "keys moved needlessly by a loss, %": results.format_range(
                        [100 * f[1] for f in samples]
                    ),
                    "keys moved by a return, %": results.format_range(
                        [100 * f[2] for f in samples]
                    ),
                }
            )
    return rows


def _jain_index(values: list[float]) -> float:
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


class _FifoQueue:
    """Baseline: bounded first-in, first-out queue."""

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._entries: collections.deque = collections.deque()

    def push(self, entry: queue.QueueEntry) -> queue.QueueEntry | None:
        """Adds an entry; returns it instead if the queue is full."""
        if len(self._entries) >= self._capacity:
            return entry
        self._entries.append(entry)
        return None

    def pop(self) -> queue.QueueEntry | None:
        """Removes and returns the oldest entry, if any."""
        return self._entries.popleft() if self._entries else None


def _simulate_admission(call_queue, seed: int) -> tuple[float, float]:
    """Simulates admission under overload.

    Calls arrive at OVERLOAD_FACTOR times the rate at which they are served;
    one in 20 is urgent.

    Returns:
        Jain's fairness index over the members that demand more than an equal
        share, and the 99th percentile wait of urgent calls, in service times
        of one call.
    """
    rng = random.Random(seed)
    names = list(DEMAND_BY_MEMBER)
    demand = list(DEMAND_BY_MEMBER.values())
    served: collections.Counter = collections.Counter()
    waits = []
    for now in range(ADMISSION_ROUNDS):
        for _ in range(int(OVERLOAD_FACTOR)):
            urgency = 0 if rng.random() < 0.05 else 5
            member = rng.choices(names, demand)[0]
            call_queue.push(queue.QueueEntry(now, urgency, member, 1.0, 0.0))
        entry = call_queue.pop()
        if entry is None:
            continue
        if entry.urgency == 0:
            waits.append(now - entry.item)
        else:
            served[entry.member] += 1
    greedy = [float(served[name]) for name in names[1:]]
    waits.sort()
    return _jain_index(greedy), waits[int(0.99 * len(waits))]


def _measure_admission(seeds: int) -> list[dict]:
    rows = []
    for name, queue_class in (
        ("urgency and fair queueing", queue.AdmissionQueue),
        ("first come, first served", _FifoQueue),
    ):
        samples = [
            _simulate_admission(queue_class(QUEUE_CAPACITY), seed)
            for seed in range(seeds)
        ]
        rows.append(
            {
                "policy": name,
                "Jain index of greedy members": results.format_range(
                    [f[0] for f in samples]
                ),
                "p99 wait of urgent calls, service times": results.format_range(
                    [f[1] for f in samples]
                ),
            }
        )
    return rows


def run(seeds: int = 5, out: str = "build/policy.json") -> None:
    """Runs the benchmark and prints its tables.

    Args:
        seeds: Number of seeds.
        out: Path of the JSON file.
    """
    env = context.Environment(sys.stdout)
    print("measuring key placement", file=sys.stderr)
    placement = _measure_placement(seeds)
    print("measuring admission", file=sys.stderr)
    admission = _measure_admission(seeds)
    tables.write_table(env, placement)
    tables.write_lines(env, [""])
    tables.write_table(env, admission)
    document = {"placement": placement, "admission": admission}
    results.write_json(out, document)


if __name__ == "__main__":
    fire.Fire(run)
