"""Read-only tables of the current configuration.

Built from documents that models.py has validated. This module does not import
models.py, so that the processes that route calls need not load the validator.
"""

import dataclasses

from jujubeyard.store import records


@dataclasses.dataclass(frozen=True, slots=True)
class KindRow:
    """One kind of call; the fields are those of models.Kind."""

    name: str
    idempotent: bool
    urgency: int
    weight: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRow:
    """One target.

    Attributes:
        name: Name of the target, unique across all services.
        service: Name of its service.
        zone: Availability zone of the target.
        address: Address of the target, "ip:port".
        drained: Whether operators have drained the target or its zone.
    """

    name: str
    service: str
    zone: str
    address: str
    drained: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRow:
    """One service; most fields are those of models.Service.

    Attributes:
        requires_uuid7: Whether request ids must be UUIDs of version 7.
        find: Locator of each request field, by name of the field.
        kinds: The kinds of call, by name.
        targets: Names of the targets.
    """

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
        """The longest default deadline of the kinds, in seconds."""
        return max(kind.deadline_ms for kind in self.kinds.values()) / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """One version of the configuration.

    Attributes:
        version: Version number; each accepted change increments it.
        cluster: Name of the cluster.
        services: The services, by name.
        targets: The targets of all services, by name.
        zones: Names of the availability zones.
        drained_zones: Names of the zones that operators have drained.
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
        record: The stored configuration.

    Returns:
        The tables.
    """
    manifest = record.manifest
    drained_zones = frozenset(record.drained_zones)
    drained_targets = frozenset(record.drained_targets)
    targets = {}
    services = {}
    for service in manifest["service"]:
        services[service["name"]] = _build_service(service)
        for target in service["target"]:
            drained = (
                target["zone"] in drained_zones
                or target["name"] in drained_targets
            )
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
        drained_zones,
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
