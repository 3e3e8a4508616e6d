"""Describes clusters of stand-ins: zones, VMs, services, targets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """One kind of call; see manifest.models.Kind."""

    name: str
    idempotent: bool = False
    urgency: int = 5
    weight: float = 1.0
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """One service and its stand-in targets.

    Attributes:
        name: Name of the service.
        kinds: Its kinds.
        targets: Number of targets, spread over the zones.
        keyed: Whether keys have owners.
        shards: Number of shards.
        slots: Calls that a target runs at once.
        cold_slots: The same while it is cold.
        warm_calls: Calls that warm a target up.
        work_ms: Median time of a call.
        checks_grants: Whether targets check grants.
        queue: Calls that may wait for a target.
        connections: Connections that a target takes.
        hedge: Whether slow idempotent calls go to a second target.
    """

    name: str
    kinds: tuple[KindSpec, ...]
    targets: int
    keyed: bool = False
    shards: int = 64
    slots: int = 6
    cold_slots: int = 1
    warm_calls: int = 10
    work_ms: float = 5.0
    checks_grants: bool = False
    queue: int = 200
    connections: int = 130
    hedge: bool = True


@dataclasses.dataclass(frozen=True)
class ClusterSpec:
    """A cluster.

    Attributes:
        name: Name of the cluster.
        zones: Its availability zones.
        vms: Number of VMs, spread over the zones.
        services: Its services.
        seed: Seeds the stand-ins.
        record: Whether processes record their events.
    """

    name: str
    zones: tuple[str, ...]
    vms: int
    services: tuple[ServiceSpec, ...]
    seed: int = 1
    record_events: bool = True
