"""Descriptions of local clusters: zones, VMs, services and targets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """A kind of call; manifest.models.Kind describes the fields."""

    name: str
    idempotent: bool = False
    urgency: int = 5
    weight: float = 1.0
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service and its stand-in targets.

    Attributes:
        name: Name of the service.
        kinds: Kinds of call that the service offers.
        targets: Number of targets, spread over the zones.
        keyed: Whether each key is owned by one target.
        shards: Number of shards.
        slots: Calls that a warm target runs concurrently.
        cold_slots: Calls that a cold target runs concurrently.
        warm_calls: Calls after which a cold target is warm.
        work_ms: Median processing time of a call, in milliseconds.
        checks_grants: Whether targets check grants.
        queue: Maximum number of calls that wait for a target.
        connections: Maximum number of connections to a target.
        hedge: Whether slow idempotent calls are also sent to a second target.
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
    """A cluster of stand-ins on loopback.

    Attributes:
        name: Name of the cluster.
        zones: Names of the availability zones.
        vms: Number of VMs, spread over the zones.
        services: Services of the cluster.
        seed: Random seed of the stand-in targets.
        record_events: Whether processes write event files.
    """

    name: str
    zones: tuple[str, ...]
    vms: int
    services: tuple[ServiceSpec, ...]
    seed: int = 1
    record_events: bool = True
