"""The routing configuration that is in force on a node."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """The share of a route's calls that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Weight of the share, relative to the others of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps a host and a path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host name that callers send.
        prefix: Path prefix, which begins and ends with a slash.
        shares: Services that share the calls; one if the route isn't split.
        idempotent: Whether a call may safely run more than once.
        timeout: Longest time until a call is answered, in seconds.
        objective: Latency objective for an answer, in seconds.
        max_targets: Largest number of targets that a call is sent to.
        urgency: Priority under overload; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[TrafficShare, ...]
    idempotent: bool
    timeout: float
    objective: float
    max_targets: int
    urgency: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that serve the same calls.

    Attributes:
        name: Name of the service.
        keyed: Whether each key is owned by one of the targets.
        max_connections: Connections that a target accepts from all nodes.
        cold_seconds: How long a target stays cold after its start.
        cold_rate: Calls per second that a cold target can handle.
        health_path: Path of the health check.
    """

    name: str
    keyed: bool
    max_connections: int
    cold_seconds: float
    cold_rate: float
    health_path: str


class EntryKind(enum.Enum):
    """What an entry of a configuration describes."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"
    OTHER = "other"
    """Something that this program doesn't know."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryError:
    """Why an entry of a configuration can't be read.

    Attributes:
        kind: What the entry describes.
        name: Name of the entry, or its position if the name can't be read.
        field: The field in question; empty for the entry as a whole.
        expected: What the field should be.
        found: What it is, shortened.
    """

    kind: EntryKind
    name: str
    field: str
    expected: str
    found: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableRoute:
    """A route that can't be read, so that no service is known for its calls.

    Attributes:
        name: Name of the route, or its position if the name can't be read.
        host: Host name that callers send; None if it can't be read.
        prefix: Path prefix; None if it can't be read.
    """

    name: str
    host: str | None
    prefix: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number; newer versions have greater numbers.
        routes: All routes that can be read.
        services: All services that can be read, by name.
        max_body_bytes: Largest size of the body of a call.
        unreadable_routes: Routes that can't be read.
        errors: Why entries can't be read, in the order of the document.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    max_body_bytes: int
    unreadable_routes: tuple[UnreadableRoute, ...] = ()
    errors: tuple[EntryError, ...] = ()
