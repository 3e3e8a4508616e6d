"""Selects the gate that a call is sent to."""

import dataclasses
import random

from jujubeyard import shards
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import tables as plan_tables


@dataclasses.dataclass(slots=True)
class GateLoad:
    """Load of a gate as observed by this entry.

    Attributes:
        outstanding: Calls sent by this entry that the gate has not answered.
        queued: Number of calls queued at the gate, from its latest reply.
    """

    outstanding: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination of a call.

    Attributes:
        address: The gate's address.
        shard: The call's shard, or -1 if any target may handle it.
    """

    address: str
    shard: int


def find_shard(
    service: config_tables.ServiceRow,
    kind: config_tables.KindRow,
    key: str,
    request_id: str,
) -> int:
    """Returns the shard of a call, or -1 if any target may handle it."""
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
    """Returns the route of a call, or None if no gate can handle it.

    A call that any target may handle goes to the less loaded of two gates
    picked at random, weighted by the number of undrained targets they hold.
    """
    if shard < 0:
        return _find_least_loaded(plan, service, targets, loads, rng)
    table = plan.shards.get(service.name)
    if table is None or shard >= len(table.owners):
        return None
    gate = plan.gate_of(table.owners[shard])
    return Route(gate.address, shard) if gate else None


def _find_least_loaded(plan, service, targets, loads, rng) -> Route | None:
    addresses = []
    for name in service.targets:
        gate = plan.gate_of(name)
        target = targets.get(name)
        if gate is not None and target is not None and not target.drained:
            addresses.append(gate.address)
    if not addresses:
        return None
    targets_per_gate = {
        address: addresses.count(address) for address in set(addresses)
    }

    def load_per_target(address: str) -> float:
        load = loads.get(address) or GateLoad()
        return (load.outstanding + load.queued) / targets_per_gate[address]

    candidates = (rng.choice(addresses), rng.choice(addresses))
    return Route(min(candidates, key=load_per_target), -1)
