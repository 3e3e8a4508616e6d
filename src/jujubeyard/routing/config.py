"""The routing configuration that is in force on a node."""

import dataclasses


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


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number; newer versions have greater numbers.
        routes: All routes.
        services: All services by name.
        max_body_bytes: Largest size of the body of a call.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    max_body_bytes: int
