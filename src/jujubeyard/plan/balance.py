"""Assigns shards to targets and balances the load of the targets.

Calls for a shard pause while it moves, so a shard moves only if its owner
becomes unusable or if the load is clearly uneven.
"""

import math

from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables

MAX_LOAD_RATIO = 1.08
"""Ratio of a target's load to the mean above which shards are moved."""

NOISE_DEVIATIONS = 3.0
"""Standard deviations by which a target's measured load may exceed the mean
before the difference counts as more than sampling noise."""

MAX_SHARD_MOVES_PER_PLAN = 8
"""Shards of one service that one plan may move to balance the load."""

MIN_MEASURABLE_LOAD = 5.0
"""Weighted calls per second of a service below which its load is not used.

Every shard then counts the same, and shards move only if a target owns less
than half of the mean number of shards.
"""

BASE_LOAD_SHARE = 0.05
"""Share of the mean shard load that is added to each shard's measured load.

It keeps the shard counts of the targets balanced while there is little
traffic.
"""


def is_load_measurable(
    service: config_tables.ServiceRow, cluster: cluster_state.ClusterState
) -> bool:
    """Returns whether a service has enough load to balance by it."""
    return (
        sum(cluster.loads.get(service.name, {}).values()) >= MIN_MEASURABLE_LOAD
    )


def shard_loads(
    service: config_tables.ServiceRow, cluster: cluster_state.ClusterState
) -> list[float]:
    """Returns the load to balance by of each shard of a service."""
    measured = cluster.loads.get(service.name, {})
    total = sum(measured.values())
    if not is_load_measurable(service, cluster):
        return [1.0] * service.shards
    base = BASE_LOAD_SHARE * total / service.shards
    return [base + measured.get(s, 0.0) for s in range(service.shards)]


def assign_orphaned_shards(
    draft: tables.Plan,
    table: tables.ShardTable,
    service: config_tables.ServiceRow,
    usable: list[str],
    cluster: cluster_state.ClusterState,
) -> None:
    """Assigns shards without a usable owner to the least loaded targets."""
    allowed = set(usable)
    loads = shard_loads(service, cluster)
    target_loads = dict.fromkeys(usable, 0.0)
    orphans = []
    for shard, owner in enumerate(table.owners):
        if owner in allowed:
            target_loads[owner] += loads[shard]
        else:
            orphans.append(shard)
    orphans.sort(key=lambda shard: (-loads[shard], shard))
    for shard in orphans:
        target = min(usable, key=lambda name: (target_loads[name], name))
        target_loads[target] += loads[shard]
        move_shard(draft, table, shard, target)


def move_shard(
    draft: tables.Plan, table: tables.ShardTable, shard: int, target: str
) -> None:
    """Makes a target the owner of a shard, under a new epoch."""
    owner = table.owners[shard]
    if owner != tables.NO_OWNER:
        previous = table.previous.setdefault(shard, [])
        if owner not in previous:
            previous.append(owner)
    table.owners[shard] = target
    table.versions[shard] = draft.version


def rebalance_shards(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    """Moves shards from the most to the least loaded targets.

    At most MAX_SHARD_MOVES_PER_PLAN shards of each service are moved.
    """
    for service in cluster.config.services.values():
        table = draft.shards.get(service.name)
        if table is None:
            continue
        _rebalance_service(draft, table, service, cluster)


def _rebalance_service(draft, table, service, cluster) -> None:
    usable = _rebalance_candidates(draft, cluster, service)
    if len(usable) < 2 or len(table.owners) != service.shards:
        return
    loads = shard_loads(service, cluster)
    owned = {name: [] for name in usable}
    for shard, owner in enumerate(table.owners):
        if owner in owned:
            owned[owner].append(shard)
    target_loads = {
        name: sum(loads[shard] for shard in shards)
        for name, shards in owned.items()
    }
    mean = sum(target_loads.values()) / len(target_loads)
    for _ in range(MAX_SHARD_MOVES_PER_PLAN):
        if not _is_uneven(
            target_loads, mean, is_load_measurable(service, cluster)
        ):
            return
        if not _move_best_shard(draft, table, owned, target_loads, loads):
            return


def _rebalance_candidates(draft, cluster, service) -> list[str]:
    candidates = []
    for target in service.targets:
        holding = draft.holdings.get(target)
        if holding is None or cluster.config.targets[target].drained:
            continue
        gate = cluster.gates.get(holding.gate)
        if gate is not None and target not in gate.lost:
            candidates.append(target)
    return candidates


def _move_best_shard(draft, table, owned, target_loads, loads) -> bool:
    source = max(target_loads, key=lambda name: (target_loads[name], name))
    destination = min(target_loads, key=lambda name: (target_loads[name], name))
    gap = target_loads[source] - target_loads[destination]
    movable = [
        shard
        for shard in owned[source]
        if shard not in table.previous
        and table.versions[shard] != draft.version
        and 0 < loads[shard] < gap
    ]
    if not movable:
        return False
    shard = min(movable, key=lambda s: (abs(loads[s] - gap / 2), s))
    owned[source].remove(shard)
    owned[destination].append(shard)
    target_loads[source] -= loads[shard]
    target_loads[destination] += loads[shard]
    move_shard(draft, table, shard, destination)
    return True


def _is_uneven(
    target_loads: dict[str, float], mean: float, measurable: bool
) -> bool:
    if min(target_loads.values()) < mean / 2:
        return True
    return measurable and max(target_loads.values()) > _max_balanced_load(mean)


def _max_balanced_load(mean: float) -> float:
    """Returns the highest load of a target that needs no rebalancing.

    The limit is further above the mean at low load, where random variation is
    a larger part of the measured load.

    Args:
        mean: Mean load of the targets, in weighted calls per second.
    """
    expected_calls = mean * cluster_state.LOAD_AVERAGING_SECONDS
    noise_margin = NOISE_DEVIATIONS / math.sqrt(expected_calls)
    return mean * max(MAX_LOAD_RATIO, 1.0 + noise_margin)
