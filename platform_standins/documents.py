"""Documents that the platform's operator and targets write to the store."""

import collections.abc
import dataclasses
import json

from jujubeyard import durations
from jujubeyard.platform import documents

HEALTH_PATH = "/health"
HOST = "soak.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the soak.

    Attributes:
        name: Its name.
        keyed: Whether each key has one owner.
        slots: Calls that a target runs at once.
        work_seconds: Mean time of a call.
    """

    name: str
    keyed: bool
    slots: int
    work_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the soak.

    Attributes:
        name: Its name, which is also its path prefix.
        service: Its service.
        idempotent: Whether its calls may run more than once.
    """

    name: str
    service: str
    idempotent: bool


COLD_SECONDS = 3.0
COLD_CALLS_PER_SECOND = 4.0
MAX_CONNECTIONS = 130
ROUTE_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.5
MAX_BODY_BYTES = 65536


def make_configuration(
    version: int,
    services: collections.abc.Iterable[Service],
    routes: collections.abc.Iterable[Route],
) -> bytes:
    """Returns a version of the configuration."""
    resources = [_service_entry(service) for service in services]
    resources += [_route_entry(route) for route in routes]
    limits = {"maxBodyBytes": MAX_BODY_BYTES}
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    document = {"version": f"r{version}", "resources": resources}
    return json.dumps(document).encode()


def _service_entry(service: Service) -> dict:
    return {
        "resourceKind": "services",
        "metadata": {"name": service.name},
        "spec": {
            "healthPath": HEALTH_PATH,
            "maxConns": MAX_CONNECTIONS,
            "coldStart": durations.format_seconds(COLD_SECONDS),
            "coldPerS": COLD_CALLS_PER_SECOND,
            "sharded": service.keyed,
        },
    }


def _route_entry(route: Route) -> dict:
    kind = next(
        k
        for k, v in documents.IDEMPOTENT_BY_KIND.items()
        if v == route.idempotent
    )
    return {
        "resourceKind": "routes",
        "metadata": {"name": route.name},
        "spec": {
            "host": HOST,
            "prefix": f"/{route.name}/",
            "kind": kind,
            "timeout": durations.format_seconds(ROUTE_SECONDS),
            "targetLatency": durations.format_seconds(OBJECTIVE_SECONDS),
            "priority": 1,
            "service": route.service,
            "maxAttempts": 2,
        },
    }


def make_listing(
    service: Service,
    address: str,
    zone: str,
    born: int,
    draining: bool,
    cold_seconds: float,
) -> bytes:
    """Returns what a target says of itself.

    Args:
        service: Its service.
        address: Where it takes calls.
        zone: Its availability zone.
        born: Unix millisecond of its start.
        draining: Whether it is about to leave.
        cold_seconds: How much longer it stays cold.
    """
    states = {
        state: flag for flag, state in documents.DRAINING_BY_STATE.items()
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
    """Returns the key of a target's entry."""
    return documents.TARGET_PREFIX + target_id


def evacuation_key(zone: str) -> str:
    """Returns the key that takes an availability zone out."""
    return documents.EVACUATION_PREFIX + zone


CONFIGURATION_KEY = documents.CONFIGURATION_KEY
