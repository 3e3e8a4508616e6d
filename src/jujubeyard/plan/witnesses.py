"""Chooses the controllers that act as witnesses of leases."""

from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables

WITNESS_COUNT = 5
"""Members of a witness set; a majority survives the loss of two."""

MAX_WITNESS_SETS = 3
"""Maximum number of witness sets in use at once; a takeover may have to query
all of them."""


def choose_witnesses(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    """Adds a witness set if the members change and removes unused sets.

    A set is unused once all gates that hold or held a target have installed a
    plan with a newer set.
    """
    _retire_sets(draft, cluster)
    members = _choose_members(draft, cluster)
    if not members or len(draft.witness_sets) >= MAX_WITNESS_SETS:
        return
    if draft.witness_sets:
        current = {row.name for row in draft.witness_sets[-1].members}
        if current == {row.name for row in members}:
            return
    draft.witness_sets.append(tables.WitnessSet(draft.version, members))


def _retire_sets(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> None:
    holders = set()
    for holding in draft.holdings.values():
        holders.add(holding.gate)
        holders.update(holding.previous)
    versions = [
        cluster.gates[holder].plan_version if holder in cluster.gates else 0
        for holder in holders
        if tables.vm_of(holder) not in draft.gone
    ]
    oldest = min(versions, default=0)
    while len(draft.witness_sets) > 1:
        if draft.witness_sets[1].first_version > oldest:
            return
        draft.witness_sets.pop(0)


def _choose_members(
    draft: tables.Plan, cluster: cluster_state.ClusterState
) -> list[tables.WitnessRow]:
    current = set()
    if draft.witness_sets:
        current = {row.name for row in draft.witness_sets[-1].members}
    kept = [c for c in cluster.controllers.values() if c.name in current]
    candidates = [
        c for c in cluster.controllers.values() if c.name not in current
    ]
    chosen = sorted(kept, key=lambda c: c.name)
    member_count = min(
        WITNESS_COUNT, _round_down_to_odd(len(cluster.controllers))
    )
    chosen = chosen[:member_count] if len(chosen) > member_count else chosen
    while len(chosen) < member_count and candidates:
        per_zone = {c.zone: 0 for c in candidates}
        for member in chosen:
            if member.zone in per_zone:
                per_zone[member.zone] += 1
        best = min(candidates, key=lambda c: (per_zone[c.zone], c.name))
        candidates.remove(best)
        chosen.append(best)
    return [tables.WitnessRow(c.name, c.zone, c.address) for c in chosen]


def _round_down_to_odd(count: int) -> int:
    return count if count % 2 else max(count - 1, 1)
