"""The operators' configuration, as it is in force on a node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """A service's part of a split route.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other parts of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where calls of a host and path go.

    Attributes:
        name: Name of the route.
        host: Host that callers ask for.
        prefix: Path prefix, which begins and ends with a slash.
        parts: Services that share the calls; one if the route isn't split.
        idempotent: Whether a call may run more than once.
        timeout: Longest time that a call may wait for its answer, in seconds.
        objective: Time within which an answer is wanted, in seconds.
        max_targets: Largest number of targets that one call may be sent to.
        urgency: Rank under overload; 0 is the most urgent.
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
    """A group of targets.

    Attributes:
        name: Name of the service.
        keyed: Whether each key has one owner among the targets.
        max_connections: Connections that a target accepts from all nodes.
        cold_seconds: How long a target stays cold after its start.
        cold_rate: Calls per second that a cold target bears.
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
        version: Number of the version; a greater one is newer.
        routes: All routes.
        services: All services by name.
        max_body_bytes: Largest body of a call.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    max_body_bytes: int
