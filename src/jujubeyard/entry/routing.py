"""Chooses the gate for a call."""

import dataclasses
import random

from jujubeyard import shards
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import tables as plan_tables


@dataclasses.dataclass(slots=True)
class GateLoad:
    """What an entry knows of a gate's load.

    Attributes:
        outstanding: Calls of this entry that the gate has not answered.
        queued: Calls that waited there when it last answered.
    """

    outstanding: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a call goes.

    Attributes:
        address: The gate's address.
        shard: The call's shard, or -1.
    """

    address: str
    shard: int


def find_shard(
    service: config_tables.ServiceRow,
    kind: config_tables.KindRow,
    key: str,
    request_id: str,
) -> int:
    """Returns the shard of a call, or -1 if any target will do."""
    if service.keyed:
        return shards.shard_of(service.name, key, service.shards)
    if kind.idempotent:
        return -1
    return shards.shard_of(service.name, request_id, service.shards)


def find_route(
    plan: plan_tables.Plan,
    service: config_tables.ServiceRow,
    targets: dict[str, config_tables.TargetRow],
    shard: int,
    loads: dict[str, GateLoad],
    rng: random.Random,
) -> Route | None:
    """Returns the route of a call, or None if no gate can take it.

    A call of any target goes to the less loaded of two random gates, weighted
    by the targets in use that they hold.
    """
    if shard < 0:
        return _find_any(plan, service, targets, loads, rng)
    table = plan.shards.get(service.name)
    if table is None or shard >= len(table.owners):
        return None
    gate = plan.gate_of(table.owners[shard])
    return Route(gate.address, shard) if gate else None


def _find_any(plan, service, targets, loads, rng) -> Route | None:
    addresses = []
    for name in service.targets:
        gate = plan.gate_of(name)
        target = targets.get(name)
        if gate is not None and target is not None and not target.drained:
            addresses.append(gate.address)
    if not addresses:
        return None
    held = {address: addresses.count(address) for address in set(addresses)}

    def pressure(address: str) -> float:
        load = loads.get(address) or GateLoad()
        return (load.outstanding + load.queued) / held[address]

    pair = (rng.choice(addresses), rng.choice(addresses))
    return Route(min(pair, key=pressure), -1)
