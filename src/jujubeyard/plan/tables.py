"""The plan: which gate holds a target and which target owns a shard."""

import dataclasses

NO_OWNER = ""
"""Owner of a shard that no target of its service can take."""


@dataclasses.dataclass(slots=True)
class GateRow:
    """One gate that the plan names.

    Attributes:
        holder: The gate's incarnation, "vm/incarnation".
        zone: Its availability zone.
        address: Where it listens for links.
    """

    holder: str
    zone: str
    address: str

    @property
    def vm(self) -> str:
        """Name of the gate's VM."""
        return vm_of(self.holder)


@dataclasses.dataclass(slots=True)
class Holding:
    """Which gate holds a target.

    Attributes:
        target: Name of the target.
        service: Name of its service.
        gate: The holder.
        version: The plan that gave the target to this gate; the fencing
            epoch of the gate at the target.
        previous: Holders that may not have released the target yet.
    """

    target: str
    service: str
    gate: str
    version: int
    previous: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ShardTable:
    """The owners of a service's shards.

    Attributes:
        owners: Target of each shard, or NO_OWNER.
        versions: The plan that gave each shard to its owner; the epoch of
            the grant.
        previous: Earlier owners, by shard, that may not have released it.
    """

    owners: list[str]
    versions: list[int]
    previous: dict[int, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class WitnessRow:
    """One controller that promises leases.

    Attributes:
        name: The controller's incarnation, "vm/incarnation".
        zone: Its availability zone.
        address: Where it listens for links.
    """

    name: str
    zone: str
    address: str

    @property
    def vm(self) -> str:
        """Name of the controller's VM."""
        return vm_of(self.name)


@dataclasses.dataclass(slots=True)
class WitnessSet:
    """Witnesses of all leases under plans from one version on.

    Attributes:
        since: The first plan that names the set.
        members: The witnesses.
    """

    first_version: int
    members: list[WitnessRow]

    @property
    def majority(self) -> int:
        """How many members a lease or a takeover needs."""
        return len(self.members) // 2 + 1


@dataclasses.dataclass(slots=True)
class Plan:
    """One version of the plan.

    Attributes:
        version: Grows by one with each write.
        config_version: The configuration that the plan was made for.
        gates: Gates that hold a target or may still do, by holder.
        holdings: By target.
        shards: By service.
        witness_sets: Sets that a lease may rest on, oldest first; a gate
            renews with the newest set of the plan that it has installed.
        gone: VMs that the platform no longer lists.
        recent_writes: Ids of the latest writes, oldest first.
    """

    version: int = 0
    config_version: int = 0
    gates: dict[str, GateRow] = dataclasses.field(default_factory=dict)
    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    shards: dict[str, ShardTable] = dataclasses.field(default_factory=dict)
    witness_sets: list[WitnessSet] = dataclasses.field(default_factory=list)
    gone: list[str] = dataclasses.field(default_factory=list)
    recent_writes: list[str] = dataclasses.field(default_factory=list)

    def gate_of(self, target: str) -> GateRow | None:
        """Returns the gate that holds a target, or None."""
        holding = self.holdings.get(target)
        return self.gates.get(holding.gate) if holding else None


def vm_of(name: str) -> str:
    """Returns the VM of a "vm/incarnation"."""
    return name.partition("/")[0]
