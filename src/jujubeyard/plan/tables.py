"""Tables of a plan: the gates of the targets and the owners of the shards."""

import dataclasses

NO_OWNER = ""
"""Owner of a shard for which its service has no usable target."""


@dataclasses.dataclass(slots=True)
class GateRow:
    """A gate that the plan refers to.

    Attributes:
        holder: The gate's incarnation, "vm/incarnation".
        zone: Its availability zone.
        address: Address of its link server.
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
    """The assignment of a target to a gate.

    Attributes:
        target: Name of the target.
        service: Name of its service.
        gate: The holder, "vm/incarnation" of the gate.
        version: Version of the plan that assigned the target to this gate;
            the gate's fencing epoch at the target.
        previous: Former holders that may not have released the target yet.
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
        versions: Version of the plan that assigned each shard to its owner;
            the epoch of the grant.
        previous: Former owners that may not have released a shard yet, by
            shard.
    """

    owners: list[str]
    versions: list[int]
    previous: dict[int, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class WitnessRow:
    """A controller that is a witness of leases.

    Attributes:
        name: The controller's incarnation, "vm/incarnation".
        zone: Its availability zone.
        address: Address of its link server.
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
    """The witnesses of all leases under plans from one version on.

    Attributes:
        first_version: Version of the first plan that contains the set.
        members: The witnesses.
    """

    first_version: int
    members: list[WitnessRow]

    @property
    def majority(self) -> int:
        """Number of members that a lease or a takeover needs."""
        return len(self.members) // 2 + 1


@dataclasses.dataclass(slots=True)
class Plan:
    """One version of the plan.

    Attributes:
        version: Increases by one with each write.
        config_version: Version of the configuration that the plan was made
            for.
        gates: Gates that hold a target or may still hold it, by holder.
        holdings: Assignments of targets to gates, by target.
        shards: Shard tables, by service.
        witness_sets: Witness sets that a lease may depend on, oldest first; a
            gate renews with the newest set of its installed plan.
        gone: VMs that the platform no longer lists.
        recent_writes: IDs of the latest writes, oldest first.
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
    """Returns the VM part of a "vm/incarnation" name."""
    return name.partition("/")[0]
