"""Finds limits of a configuration that contradict each other."""

import collections.abc
import dataclasses

from jujubeyard.advice import findings
from jujubeyard.routing import config

Findings = collections.abc.Iterator[findings.Finding]


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What is known of where the configuration will be in force.

    Attributes:
        min_send_seconds: Shortest time left in which a call is still sent, in
            seconds.
        node_count: Number of nodes; None if it isn't known.
        target_counts: Number of targets by service; None if it isn't known.
    """

    min_send_seconds: float
    node_count: int | None = None
    target_counts: collections.abc.Mapping[str, int] | None = None


def find_contradictions(
    configuration: config.Configuration, deployment: Deployment
) -> Findings:
    """Yields findings on limits that contradict each other.

    Args:
        configuration: The configuration.
        deployment: Where it will be in force.
    """
    for route in configuration.routes:
        yield from _check_times(route, deployment.min_send_seconds)
        if deployment.target_counts is not None:
            yield from _check_attempts(route, deployment.target_counts)
    for service in configuration.services.values():
        yield from _check_service(service, deployment.node_count)


def _check_times(route: config.Route, min_send_seconds: float) -> Findings:
    if route.objective > route.timeout:
        yield findings.on_route(
            findings.FindingCode.OBJECTIVE_ABOVE_TIMEOUT,
            route,
            "objective",
            f"objective {route.objective} s, timeout {route.timeout} s",
        )
    if route.timeout <= min_send_seconds:
        yield findings.on_route(
            findings.FindingCode.NO_TIME_FOR_CALL,
            route,
            "timeout",
            f"{route.timeout} s; a call is sent with {min_send_seconds} s left",
        )
    elif route.max_targets > 1 and route.timeout <= 2 * min_send_seconds:
        yield findings.on_route(
            findings.FindingCode.NO_TIME_FOR_RETRY,
            route,
            "timeout",
            f"{route.timeout} s for up to {route.max_targets} attempts",
        )


def _check_attempts(
    route: config.Route, target_counts: collections.abc.Mapping[str, int]
) -> Findings:
    for share in route.shares:
        count = target_counts.get(share.service, 0)
        if route.max_targets > max(count, 1):
            yield findings.on_route(
                findings.FindingCode.ATTEMPTS_ABOVE_TARGETS,
                route,
                "attempts",
                f"{route.max_targets} attempts, {count} targets of "
                f"{share.service!r}",
            )


def _check_service(service: config.Service, node_count: int | None) -> Findings:
    if service.cold_seconds and not service.cold_rate:
        yield findings.on_service(
            findings.FindingCode.ZERO_COLD_RATE,
            service,
            "cold rate",
            f"cold for {service.cold_seconds} s, 0 calls a second",
        )
    if node_count is not None and service.max_connections < node_count:
        yield findings.on_service(
            findings.FindingCode.CONNECTIONS_BELOW_NODES,
            service,
            "connections",
            f"{service.max_connections} connections, {node_count} nodes",
        )
