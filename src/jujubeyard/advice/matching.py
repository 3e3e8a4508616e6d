"""Finds entries of a configuration that no call can ever match."""

import collections.abc
import re

from jujubeyard.advice import findings
from jujubeyard.routing import config
from jujubeyard.routing import match

_NOT_IN_PATHS = re.compile(r"[^!-~]|[?#]")
"""Characters that no path of a call has."""

Findings = collections.abc.Iterator[findings.Finding]


def find_unmatched(configuration: config.Configuration) -> Findings:
    """Yields findings on entries that no call can match.

    Args:
        configuration: The configuration.
    """
    table = match.RouteTable(configuration)
    for route in configuration.routes:
        yield from _check_route(route, table)
        yield from _check_shares(route)
    yield from _check_names(configuration.routes)
    yield from _check_services(configuration)


def _check_route(route: config.Route, table: match.RouteTable) -> Findings:
    if not route.host or ":" in route.host:
        yield findings.on_route(
            findings.FindingCode.HOST_NEVER_MATCHES,
            route,
            "host",
            f"{route.host!r} must be a name without a port",
        )
        return
    odd = _NOT_IN_PATHS.search(route.prefix)
    if odd is not None:
        yield findings.on_route(
            findings.FindingCode.PREFIX_NEVER_MATCHES,
            route,
            "prefix",
            f"{route.prefix!r} has {odd[0]!r}",
        )
        return
    found = table.find(route.host, route.prefix)
    if found is not route:
        yield findings.on_route(
            findings.FindingCode.SAME_PREFIX,
            route,
            "prefix",
            f"{found.name!r} has {route.prefix!r} of {route.host!r} too",
        )


def _check_shares(route: config.Route) -> Findings:
    for number, share in enumerate(route.shares):
        if not share.weight:
            yield findings.on_route(
                findings.FindingCode.ZERO_WEIGHT,
                route,
                f"share {number + 1}",
                f"service {share.service!r} has weight 0",
            )


def _check_names(routes: collections.abc.Iterable[config.Route]) -> Findings:
    names = set()
    for route in routes:
        if route.name in names:
            code = findings.FindingCode.SAME_NAME
            detail = "an earlier route has this name"
            yield findings.on_route(code, route, "name", detail)
        names.add(route.name)


def _check_services(configuration: config.Configuration) -> Findings:
    used = {
        share.service
        for route in configuration.routes
        for share in route.shares
    }
    for service in configuration.services.values():
        if service.name not in used:
            code = findings.FindingCode.UNUSED_SERVICE
            yield findings.on_service(code, service, "", "gets no calls")
