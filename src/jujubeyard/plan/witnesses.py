"""Chooses the controllers that promise leases."""

from jujubeyard.plan import cluster_state
from jujubeyard.plan import tables

WITNESS_COUNT = 5
"""Members of a set: two may be lost."""

MAX_WITNESS_SETS = 3
"""Sets that a takeover may have to ask."""


def choose_witnesses(
    draft: tables.Plan, seen: cluster_state.ClusterState
) -> None:
    """Names a new set if a member is gone, and retires sets out of use."""
    _retire_sets(draft, seen)
    wanted = _choose_members(draft, seen)
    if not wanted or len(draft.witness_sets) >= MAX_WITNESS_SETS:
        return
    if draft.witness_sets:
        current = {row.name for row in draft.witness_sets[-1].members}
        if current == {row.name for row in wanted}:
            return
    draft.witness_sets.append(tables.WitnessSet(draft.version, wanted))


def _retire_sets(draft: tables.Plan, seen: cluster_state.ClusterState) -> None:
    named = set()
    for holding in draft.holdings.values():
        named.add(holding.gate)
        named.update(holding.previous)
    versions = [
        seen.gates[holder].plan_version if holder in seen.gates else 0
        for holder in named
        if tables.vm_of(holder) not in draft.gone
    ]
    oldest = min(versions, default=0)
    while len(draft.witness_sets) > 1:
        if draft.witness_sets[1].first_version > oldest:
            return
        draft.witness_sets.pop(0)


def _choose_members(
    draft: tables.Plan, seen: cluster_state.ClusterState
) -> list[tables.WitnessRow]:
    current = set()
    if draft.witness_sets:
        current = {row.name for row in draft.witness_sets[-1].members}
    kept = [c for c in seen.controllers.values() if c.name in current]
    fresh = [c for c in seen.controllers.values() if c.name not in current]
    chosen = sorted(kept, key=lambda c: c.name)
    target_count = min(WITNESS_COUNT, _largest_odd(len(seen.controllers)))
    chosen = chosen[:target_count] if len(chosen) > target_count else chosen
    while len(chosen) < target_count and fresh:
        per_zone = {c.zone: 0 for c in fresh}
        for member in chosen:
            if member.zone in per_zone:
                per_zone[member.zone] += 1
        best = min(fresh, key=lambda c: (per_zone[c.zone], c.name))
        fresh.remove(best)
        chosen.append(best)
    return [tables.WitnessRow(c.name, c.zone, c.address) for c in chosen]


def _largest_odd(count: int) -> int:
    return count if count % 2 else max(count - 1, 1)
