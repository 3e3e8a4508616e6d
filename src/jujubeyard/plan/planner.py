"""Makes the next plan from the previous plan and the state of the cluster.

The planner reads no clock and does no I/O: the same arguments always give the
same plan.
"""

from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import balance
from jujubeyard.plan import cluster_state
from jujubeyard.plan import codec
from jujubeyard.plan import tables
from jujubeyard.plan import witnesses

MAX_TARGET_SPREAD = 2
"""Largest accepted difference between the target counts of two gates."""

MAX_TARGET_MOVES_PER_PLAN = 2


def make_plan(
    current: tables.Plan, cluster: cluster_state.ClusterState
) -> tables.Plan | None:
    """Makes the next plan.

    Args:
        current: The plan in force.
        cluster: The state of the cluster.

    Returns:
        A plan with the next version, or None if nothing has to change.
    """
    if not cluster.gates or not cluster.controllers:
        return None
    draft = codec.copy_plan(current)
    draft.version = current.version + 1
    draft.config_version = cluster.config.version
    _update_gone_vms(draft, cluster)
    _clear_settled_previous(draft, cluster)
    _assign_targets(draft, cluster)
    _assign_shards(draft, cluster)
    if cluster.may_rebalance:
        _rebalance_targets(draft, cluster)
        balance.rebalance_shards(draft, cluster)
    witnesses.choose_witnesses(draft, cluster)
    _remove_unused_rows(draft, cluster)
    return draft if _differs(draft, current) else None


def _differs(draft: tables.Plan, current: tables.Plan) -> bool:
    version = draft.version
    draft.version = current.version
    changed = draft != current
    draft.version = version
    return changed


def _update_gone_vms(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    referenced_vms = {row.vm for row in draft.gates.values()}
    for witness_set in draft.witness_sets:
        referenced_vms.update(row.vm for row in witness_set.members)
    alive = {tables.vm_of(name) for name in cluster.gates}
    alive.update(tables.vm_of(name) for name in cluster.controllers)
    gone = (set(draft.gone) | cluster.gone) & referenced_vms
    draft.gone = sorted(gone - alive)


def _clear_settled_previous(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    for holding in draft.holdings.values():
        gate = cluster.gates.get(holding.gate)
        if gate and gate.settled_version >= holding.version:
            holding.previous = []
    for table in draft.shards.values():
        for shard in list(table.previous):
            if _is_shard_settled(draft, cluster, table, shard):
                del table.previous[shard]


def _is_shard_settled(draft, cluster, table, shard: int) -> bool:
    holding = draft.holdings.get(table.owners[shard])
    if holding is None:
        return False
    gate = cluster.gates.get(holding.gate)
    needed = max(holding.version, table.versions[shard])
    return gate is not None and gate.settled_version >= needed


def _assign_targets(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    usable = _usable_gates(cluster)
    counts = dict.fromkeys(usable, 0)
    for holding in draft.holdings.values():
        if holding.gate in counts:
            counts[holding.gate] += 1
    zones = {name: row.zone for name, row in cluster.config.targets.items()}
    targets = sorted(cluster.config.targets.keys() | draft.holdings.keys())
    for target in targets:
        holding = draft.holdings.get(target)
        if holding and holding.gate in usable:
            continue
        gate = _choose_gate(usable, counts, zones.get(target, ""))
        if gate is None:
            continue
        counts[gate.holder] += 1
        _assign_target(draft, target, gate, cluster)


def _usable_gates(
    cluster: cluster_state.ClusterState,
) -> dict[str, cluster_state.GateView]:
    staying = {
        holder: gate
        for holder, gate in cluster.gates.items()
        if not gate.leaving and gate.zone not in cluster.config.drained_zones
    }
    if staying:
        return staying
    return {h: gate for h, gate in cluster.gates.items() if not gate.leaving}


def _choose_gate(
    usable: dict[str, cluster_state.GateView], counts: dict[str, int], zone: str
) -> cluster_state.GateView | None:
    if not usable:
        return None

    def cost(gate: cluster_state.GateView):
        return (counts[gate.holder], gate.zone != zone, gate.holder)

    def local_cost(gate: cluster_state.GateView):
        return (gate.zone != zone, counts[gate.holder], gate.holder)

    local = min(usable.values(), key=local_cost)
    least = min(usable.values(), key=cost)
    spread = counts[local.holder] - counts[least.holder]
    return local if spread <= MAX_TARGET_SPREAD else least


def _assign_target(draft, target: str, gate, cluster) -> None:
    holding = draft.holdings.get(target)
    if holding is None:
        service = cluster.config.targets[target].service
        draft.holdings[target] = tables.Holding(
            target, service, gate.holder, draft.version
        )
    else:
        if holding.gate not in holding.previous:
            holding.previous.append(holding.gate)
        holding.gate = gate.holder
        holding.version = draft.version
    draft.gates[gate.holder] = tables.GateRow(
        gate.holder, gate.zone, gate.address
    )


def _rebalance_targets(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    usable = _usable_gates(cluster)
    by_gate = {holder: [] for holder in usable}
    for holding in draft.holdings.values():
        if holding.gate in by_gate:
            by_gate[holding.gate].append(holding)
    for _ in range(MAX_TARGET_MOVES_PER_PLAN):
        source = max(by_gate, key=lambda holder: (len(by_gate[holder]), holder))
        destination = min(
            by_gate, key=lambda holder: (len(by_gate[holder]), holder)
        )
        if (
            len(by_gate[source]) - len(by_gate[destination])
            <= MAX_TARGET_SPREAD
        ):
            return
        movable = [h for h in by_gate[source] if not h.previous]
        if not movable:
            return
        moved = min(movable, key=lambda h: h.target)
        by_gate[source].remove(moved)
        by_gate[destination].append(moved)
        _assign_target(draft, moved.target, usable[destination], cluster)


def _assign_shards(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    for service in cluster.config.services.values():
        table = draft.shards.get(service.name)
        if table is None:
            table = tables.ShardTable(
                [tables.NO_OWNER] * service.shards, [0] * service.shards
            )
            draft.shards[service.name] = table
        usable = usable_targets(draft, cluster, service)
        if usable and len(table.owners) == service.shards:
            balance.assign_orphaned_shards(
                draft, table, service, usable, cluster
            )


def usable_targets(
    draft: tables.Plan,
    cluster: cluster_state.ClusterState,
    service: config_tables.ServiceRow,
) -> list[str]:
    """Returns the targets of a service that may own shards.

    A target whose gate is not alive counts as responsive, as the planner
    replaces the gate first.
    """
    usable = []
    for target in service.targets:
        holding = draft.holdings.get(target)
        gate = cluster.gates.get(holding.gate) if holding else None
        lost = gate is not None and target in gate.lost
        if not lost and not cluster.config.targets[target].drained:
            usable.append(target)
    return usable


def _remove_unused_rows(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    owners = set()
    for table in draft.shards.values():
        owners.update(table.owners)
        for previous in table.previous.values():
            owners.update(previous)
    for target in list(draft.holdings):
        needed = target in cluster.config.targets or target in owners
        if not needed and not draft.holdings[target].previous:
            del draft.holdings[target]
    needed = set()
    for holding in draft.holdings.values():
        needed.add(holding.gate)
        needed.update(holding.previous)
    draft.gates = {h: r for h, r in draft.gates.items() if h in needed}
