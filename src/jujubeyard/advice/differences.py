"""Compares a configuration with the one in force, and says what changes."""

import collections.abc
import dataclasses

from jujubeyard.advice import findings
from jujubeyard.routing import config
from jujubeyard.routing import match

EFFECTS = {
    "host": "calls of the old host lose the route, those of the new get it",
    "prefix": "calls of the old prefix lose the route, those of the new get it",
    "shares": "calls go to other services or in other proportions",
    "timeout": "calls wait for their answer that long",
    "objective": "calls are refused sooner or later under load",
    "max_targets": "failed calls are tried at more or fewer targets",
    "urgency": "calls give way sooner or later under load",
    "keyed": "keys get owners, or lose them",
    "max_connections": "nodes open more or fewer connections to a target",
    "cold_seconds": "new targets get few calls for that long",
    "cold_rate": "cold targets get more or fewer calls",
    "health_path": "targets are asked for their health there",
    "max_body_bytes": "calls with a larger body are denied (413)",
}
"""What a change of a field does to callers."""

Findings = collections.abc.Iterator[findings.Finding]


def find_differences(
    configuration: config.Configuration, in_force: config.Configuration
) -> Findings:
    """Yields findings on what differs from the version in force.

    Args:
        configuration: The configuration to be sent.
        in_force: The configuration in force.
    """
    if configuration.version <= in_force.version:
        yield findings.Finding(
            findings.FindingCode.VERSION_NOT_NEWER,
            None,
            "",
            "version",
            f"{configuration.version}, in force is {in_force.version}",
        )
    yield from _compare_entries(
        config.EntryKind.SERVICE, in_force.services, configuration.services
    )
    yield from _compare_entries(
        config.EntryKind.ROUTE,
        {route.name: route for route in in_force.routes},
        {route.name: route for route in configuration.routes},
    )
    if configuration.max_body_bytes != in_force.max_body_bytes:
        yield _describe_change(
            config.EntryKind.LIMITS,
            "limits",
            "max_body_bytes",
            in_force.max_body_bytes,
            configuration.max_body_bytes,
        )
    yield from _find_lost_calls(configuration, in_force)


def _compare_entries(
    kind: config.EntryKind,
    before: collections.abc.Mapping[str, object],
    after: collections.abc.Mapping[str, object],
) -> Findings:
    for name in before.keys() - after.keys():
        code = findings.FindingCode.REMOVED
        yield findings.Finding(code, kind, name, "", "removed")
    for name, entry in after.items():
        if name not in before:
            code = findings.FindingCode.ADDED
            yield findings.Finding(code, kind, name, "", "added")
            continue
        for field in dataclasses.fields(entry):
            old = getattr(before[name], field.name)
            new = getattr(entry, field.name)
            if old != new:
                yield _describe_change(kind, name, field.name, old, new)


def _describe_change(
    kind: config.EntryKind, name: str, field: str, old: object, new: object
) -> findings.Finding:
    code = findings.FindingCode.CHANGED
    effect = EFFECTS.get(field, "")
    if field == "idempotent":
        code = findings.FindingCode.IDEMPOTENCE_CHANGED
        effect = (
            "calls may run more than once"
            if new
            else "calls run once at most, and fail where they were repeated"
        )
    detail = f"{_format(old)} -> {_format(new)}: {effect}"
    return findings.Finding(code, kind, name, field, detail)


def _format(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(f"{part.service} {part.weight:g}" for part in value)
    return str(value)


def _find_lost_calls(
    configuration: config.Configuration, in_force: config.Configuration
) -> Findings:
    """Yields findings on routes in force whose calls would match no other."""
    table = match.RouteTable(configuration)
    for route in in_force.routes:
        if table.may_lack_route(route.host):
            continue
        if table.find(route.host, route.prefix) is None:
            yield findings.on_route(
                findings.FindingCode.CALLS_LOSE_ROUTE,
                route,
                "prefix",
                f"calls of {route.host!r} below {route.prefix!r}",
            )
