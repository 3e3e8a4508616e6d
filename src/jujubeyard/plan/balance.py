"""Places shards on targets and levels their load.

A shard moves only if its owner can't keep it, or if a move levels the load
enough to be worth the pause that it costs.
"""

import math

from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables

IMBALANCE_LIMIT = 1.08
"""Highest load of a target over the mean that is left alone."""

CHANCE_DEVIATIONS = 3.0
"""Standard deviations of a target's load that are put down to chance."""

MAX_MOVES_PER_PLAN = 8
"""Shards of one service that one plan moves to level the load."""

MIN_LOAD = 5.0
"""Weighted calls per second of a service below which shards are counted
instead, and only targets with less than half of their share are given some."""

BASE_LOAD_SHARE = 0.05
"""Share of the mean shard load that every shard counts for besides its own,
so that shard counts stay level while there is little traffic."""


def is_busy(
    service: config_tables.ServiceRow, seen: cluster_state.ClusterState
) -> bool:
    """Returns whether a service has enough load to be measured."""
    return sum(seen.loads.get(service.name, {}).values()) >= MIN_LOAD


def shard_loads(
    service: config_tables.ServiceRow, seen: cluster_state.ClusterState
) -> list[float]:
    """Returns the load that each shard of a service counts for."""
    measured = seen.loads.get(service.name, {})
    total = sum(measured.values())
    if not is_busy(service, seen):
        return [1.0] * service.shards
    base = BASE_LOAD_SHARE * total / service.shards
    return [base + measured.get(s, 0.0) for s in range(service.shards)]


def place_orphans(
    draft: tables.Plan,
    table: tables.ShardTable,
    service: config_tables.ServiceRow,
    usable: list[str],
    seen: cluster_state.ClusterState,
) -> None:
    """Gives shards without a usable owner to the least loaded targets."""
    allowed = set(usable)
    loads = shard_loads(service, seen)
    sums = dict.fromkeys(usable, 0.0)
    orphans = []
    for shard, owner in enumerate(table.owners):
        if owner in allowed:
            sums[owner] += loads[shard]
        else:
            orphans.append(shard)
    orphans.sort(key=lambda shard: (-loads[shard], shard))
    for shard in orphans:
        target = min(usable, key=lambda name: (sums[name], name))
        sums[target] += loads[shard]
        move_shard(draft, table, shard, target)


def move_shard(
    draft: tables.Plan, table: tables.ShardTable, shard: int, target: str
) -> None:
    """Makes a target the owner of a shard under a new epoch."""
    owner = table.owners[shard]
    if owner != tables.NO_OWNER:
        previous = table.previous.setdefault(shard, [])
        if owner not in previous:
            previous.append(owner)
    table.owners[shard] = target
    table.versions[shard] = draft.version


def level_shards(draft: tables.Plan, seen: cluster_state.ClusterState) -> None:
    """Moves a few shards from the most to the least loaded targets."""
    for service in seen.config.services.values():
        table = draft.shards.get(service.name)
        if table is None:
            continue
        _level_service(draft, table, service, seen)


def _level_service(draft, table, service, seen) -> None:
    usable = _level_candidates(draft, seen, service)
    if len(usable) < 2 or len(table.owners) != service.shards:
        return
    loads = shard_loads(service, seen)
    owned = {name: [] for name in usable}
    for shard, owner in enumerate(table.owners):
        if owner in owned:
            owned[owner].append(shard)
    sums = {
        name: sum(loads[shard] for shard in shards)
        for name, shards in owned.items()
    }
    mean = sum(sums.values()) / len(sums)
    for _ in range(MAX_MOVES_PER_PLAN):
        if not _is_uneven(sums, mean, is_busy(service, seen)):
            return
        if not _move_one(draft, table, owned, sums, loads):
            return


def _level_candidates(draft, seen, service) -> list[str]:
    candidates = []
    for target in service.targets:
        holding = draft.holdings.get(target)
        if holding is None or seen.config.targets[target].drained:
            continue
        gate = seen.gates.get(holding.gate)
        if gate is not None and target not in gate.lost:
            candidates.append(target)
    return candidates


def _move_one(draft, table, owned, sums, loads) -> bool:
    source = max(sums, key=lambda name: (sums[name], name))
    sink = min(sums, key=lambda name: (sums[name], name))
    gap = sums[source] - sums[sink]
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
    owned[sink].append(shard)
    sums[source] -= loads[shard]
    sums[sink] += loads[shard]
    move_shard(draft, table, shard, sink)
    return True


def _is_uneven(sums: dict[str, float], mean: float, busy: bool) -> bool:
    if min(sums.values()) < mean / 2:
        return True
    return busy and max(sums.values()) > _load_limit(mean)


def _load_limit(mean: float) -> float:
    """Returns the load of a target that is left alone.

    Args:
        mean: Mean load of the targets, in weighted calls per second.
    """
    observed = mean * cluster_state.LOAD_AVERAGING_SECONDS
    chance = CHANCE_DEVIATIONS / math.sqrt(observed)
    return mean * max(IMBALANCE_LIMIT, 1.0 + chance)
