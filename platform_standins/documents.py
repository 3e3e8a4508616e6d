"""Builds the documents that the operator and targets write to the store."""

import collections.abc
import dataclasses
import json

from jujubeyard import durations
from jujubeyard.platform import configurations
from jujubeyard.platform import documents

HEALTH_PATH = "/health"
HOST = "soak.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the soak.

    Attributes:
        name: Name of the service.
        keyed: Whether each key is owned by one target.
        slots: Maximum number of concurrent calls per target.
        work_seconds: Mean processing time of a call.
    """

    name: str
    keyed: bool
    slots: int
    work_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the soak.

    Attributes:
        name: Name of the route, which is also its path prefix.
        service: Name of the service that handles its calls.
        idempotent: Whether its calls may run more than once.
    """

    name: str
    service: str
    idempotent: bool


COLD_SECONDS = 3.0
COLD_CALLS_PER_SECOND = 4.0
MAX_CONNECTIONS = 130
ROUTE_TIMEOUT_SECONDS = 1.5
LATENCY_OBJECTIVE_SECONDS = 0.5
MAX_BODY_BYTES = 65536


def make_configuration(
    version: int,
    services: collections.abc.Iterable[Service],
    routes: collections.abc.Iterable[Route],
) -> bytes:
    """Builds a version of the operator's configuration."""
    document = {
        "version": f"r{version}",
        "routes": _make_table(map(_route_fields, routes)),
        "services": _make_table(map(_service_fields, services)),
        "limits": {"maxBodyBytes": MAX_BODY_BYTES},
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _make_table(rows: collections.abc.Iterable[dict]) -> dict:
    """Returns a table of rows that all have the same fields."""
    rows = list(rows)
    columns = list(rows[0]) if rows else []
    return {"columns": columns, "rows": [list(row.values()) for row in rows]}


def _service_fields(service: Service) -> dict:
    return {
        "name": service.name,
        "healthPath": HEALTH_PATH,
        "maxConns": MAX_CONNECTIONS,
        "coldStart": durations.format_seconds(COLD_SECONDS),
        "coldPerS": COLD_CALLS_PER_SECOND,
        "sharded": service.keyed or None,
    }


def _route_fields(route: Route) -> dict:
    kind = next(
        kind
        for kind, idempotent in configurations.IDEMPOTENT_BY_KIND.items()
        if idempotent == route.idempotent
    )
    return {
        "name": route.name,
        "host": HOST,
        "prefix": f"/{route.name}/",
        "kind": kind,
        "timeout": durations.format_seconds(ROUTE_TIMEOUT_SECONDS),
        "targetLatency": durations.format_seconds(LATENCY_OBJECTIVE_SECONDS),
        "priority": 0 if route.idempotent else 1,
        "service": route.service,
        "maxAttempts": 2,
    }


def make_listing(
    service: Service,
    address: str,
    zone: str,
    born: int,
    draining: bool,
    cold_seconds: float,
) -> bytes:
    """Builds the listing of a target.

    Args:
        service: Service of the target.
        address: Address for calls, as "IP:PORT".
        zone: Availability zone of the target.
        born: Start time of the target's process in Unix milliseconds.
        draining: Whether the target is draining.
        cold_seconds: Remaining time for which the target is cold.
    """
    states = {
        is_draining: state
        for state, is_draining in documents.DRAINING_BY_STATE.items()
    }
    document = {
        "address": address,
        "born": born,
        "info": {
            "service": service.name,
            "version": "v1",
            "zone": zone,
            "slots": service.slots,
        },
        "status": {
            "state": states[draining],
            "seq": 1,
            "coldLeft": durations.format_seconds(cold_seconds),
        },
    }
    return json.dumps(document).encode()


def listing_key(target_id: str) -> str:
    """Returns the store key of a target's listing."""
    return documents.TARGET_PREFIX + target_id


def evacuation_key(zone: str) -> str:
    """Returns the store key that marks an availability zone as evacuated."""
    return documents.EVACUATION_PREFIX + zone


CONFIGURATION_KEY = documents.CONFIGURATION_KEY
OPERATOR_PREFIX = documents.OPERATOR_PREFIX
TARGET_PREFIX = documents.TARGET_PREFIX
