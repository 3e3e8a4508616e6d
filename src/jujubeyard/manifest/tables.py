"""The configuration in force, as read-only tables.

Reads documents that models.py has checked, without importing it, so that the
processes on the path of calls don't carry a validator.
"""

import dataclasses

from jujubeyard.store import records


@dataclasses.dataclass(frozen=True, slots=True)
class KindRow:
    """One kind of call; see models.Kind."""

    name: str
    idempotent: bool
    urgency: int
    weight: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRow:
    """One target.

    Attributes:
        name: Unique over all services.
        service: Name of its service.
        zone: Availability zone.
        address: "ip:port".
        drained: Whether operators have taken it or its zone out.
    """

    name: str
    service: str
    zone: str
    address: str
    drained: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRow:
    """One service; see models.Service."""

    name: str
    keyed: bool
    shards: int
    slots: int
    cold_slots: int
    warm_calls: int
    connections: int
    checks_grants: bool
    requires_uuid7: bool
    queue: int
    hedge: bool
    find: dict[str, str]
    kinds: dict[str, KindRow]
    targets: tuple[str, ...]

    @property
    def max_default_deadline(self) -> float:
        """The longest default deadline of its kinds, in seconds."""
        return max(kind.deadline_ms for kind in self.kinds.values()) / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """One version of the configuration.

    Attributes:
        version: Grows by one with each accepted change.
        cluster: Name of the cluster.
        services: By name.
        targets: By name.
        zones: Names of the availability zones.
        drained_zones: Zones that operators have taken out.
    """

    version: int
    cluster: str
    services: dict[str, ServiceRow]
    targets: dict[str, TargetRow]
    zones: tuple[str, ...]
    drained_zones: frozenset[str]


def build_config(record: records.ConfigRecord) -> Config:
    """Builds the tables from a configuration record.

    Args:
        record: The record of the configuration.
    """
    manifest = record.manifest
    zones = frozenset(record.drained_zones)
    names = frozenset(record.drained_targets)
    targets = {}
    services = {}
    for service in manifest["service"]:
        services[service["name"]] = _build_service(service)
        for target in service["target"]:
            drained = target["zone"] in zones or target["name"] in names
            targets[target["name"]] = TargetRow(
                target["name"],
                service["name"],
                target["zone"],
                target["address"],
                drained,
            )
    return Config(
        record.version,
        manifest["cluster"],
        services,
        targets,
        tuple(manifest["zones"]),
        zones,
    )


def _build_service(service: dict) -> ServiceRow:
    kinds = {
        kind["name"]: KindRow(
            kind["name"],
            kind["idempotent"],
            kind["urgency"],
            kind["weight"],
            kind["deadline_ms"],
        )
        for kind in service["kind"]
    }
    return ServiceRow(
        service["name"],
        service["keyed"],
        service["shards"],
        service["slots"],
        service["cold_slots"],
        service["warm_calls"],
        service["connections"],
        service["checks_grants"],
        service["request_ids"] == "uuid7",
        service["queue"],
        service["hedge"],
        service["find"],
        kinds,
        tuple(target["name"] for target in service["target"]),
    )
