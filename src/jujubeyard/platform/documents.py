"""Parses the platform's JSON documents and load headers."""

import dataclasses
import ipaddress
import json

from jujubeyard import durations
from jujubeyard import errors
from jujubeyard.routing import config
from jujubeyard.targets import loads
from jujubeyard.targets import registry

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
EVACUATION_PREFIX = OPERATOR_PREFIX + "evacuate/"
TARGET_PREFIX = "servers/"

IDEMPOTENT_BY_KIND = {"safe": True, "download": True, "unsafe": False}
"""Whether calls of a route are idempotent, by the kind of the route."""

DRAINING_BY_STATE = {"ready": False, "draining": True}
"""Whether a target is draining, by the state in its listing."""

PERCENT = 100.0
PORT_LIMIT = 65536
"""Ports are below this number."""


def parse_json_object(body: bytes) -> dict:
    """Parses a JSON object.

    Raises:
        errors.FormatError: The body is not JSON, or not an object.
    """
    try:
        document = json.loads(body)
    except ValueError as exc:
        raise errors.FormatError(f"document is not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise errors.FormatError("document is not a JSON object")
    return document


def parse_configuration(body: bytes) -> config.Configuration:
    """Parses the operator's configuration.

    Raises:
        errors.FormatError: The document is malformed, or a route refers to
            an unknown service.
    """
    try:
        document = parse_json_object(body)
        resources = _list_resources(document)
        services = {
            spec["name"]: _parse_service(spec) for spec in resources.services
        }
        routes = tuple(map(_parse_route, resources.routes))
        _check_service_names(routes, services)
        version = int(document["version"].removeprefix("r"))
        max_body = int(resources.limits.get("maxBodyBytes", 0))
        return config.Configuration(version, routes, services, max_body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.FormatError(f"configuration: {exc!r}") from exc


@dataclasses.dataclass(frozen=True, slots=True)
class _Resources:
    """The resources of a configuration, by their kind.

    Attributes:
        routes: Fields of each route, with its name.
        services: Fields of each service, with its name.
        limits: The limits of callers' requests.
    """

    routes: list[dict]
    services: list[dict]
    limits: dict


def _list_resources(document: dict) -> _Resources:
    """Returns the resources of a configuration.

    They are tables whose columns are named once, as deploy/wire.toml asks for;
    a configuration of many routes is less than half as large then. One that
    was stored before is a list of resources with a kind each.
    """
    if "resources" in document:
        return _group_resources(document["resources"])
    return _Resources(
        _expand_table(document["routes"]),
        _expand_table(document["services"]),
        document["limits"],
    )


def _expand_table(table: dict) -> list[dict]:
    """Returns the rows of a table as fields by name, without missing ones."""
    names, rows = table["columns"], table["rows"]
    if not isinstance(rows, list):
        raise TypeError("rows are not a list")
    return [
        {
            name: value
            for name, value in zip(names, row, strict=True)
            if value is not None
        }
        for row in rows
    ]


def _group_resources(entries: list[dict]) -> _Resources:
    specs = {"routes": [], "services": [], "limits": []}
    for entry in entries:
        group = specs.get(entry["resourceKind"])
        if group is not None:
            group.append(entry["metadata"] | entry["spec"])
    limits = specs["limits"][-1] if specs["limits"] else {}
    return _Resources(specs["routes"], specs["services"], limits)


def _parse_service(spec: dict) -> config.Service:
    return config.Service(
        name=spec["name"],
        keyed=bool(spec.get("sharded", False)),
        max_connections=int(spec["maxConns"]),
        cold_seconds=durations.parse_seconds(spec.get("coldStart", "0s")),
        cold_rate=float(spec.get("coldPerS", 0.0)),
        health_path=str(spec.get("healthPath", "/")),
    )


def _parse_route(spec: dict) -> config.Route:
    if "trafficSplit" in spec:
        shares = tuple(
            config.TrafficShare(part["service"], float(part["weight"]))
            for part in spec["trafficSplit"]
        )
    else:
        shares = (config.TrafficShare(spec["service"], 1.0),)
    prefix = spec["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} must start and end with '/'")
    return config.Route(
        name=spec["name"],
        host=str(spec["host"]),
        prefix=prefix,
        shares=shares,
        idempotent=IDEMPOTENT_BY_KIND[spec["kind"]],
        timeout=durations.parse_seconds(spec["timeout"]),
        objective=durations.parse_seconds(spec["targetLatency"]),
        max_targets=int(spec["maxAttempts"]),
        urgency=int(spec["priority"]),
    )


def _check_service_names(routes, services) -> None:
    for route in routes:
        for part in route.shares:
            if part.service not in services:
                raise ValueError(f"unknown service {part.service!r}")


def parse_listing(key: str, body: bytes) -> registry.Listing:
    """Parses a target's listing.

    Args:
        key: Store key of the listing, which ends with the target's ID.
        body: The stored document.

    Raises:
        errors.FormatError: The document is malformed.
    """
    try:
        document = parse_json_object(body)
        info, status = document["info"], document["status"]
        born = (
            _check_positive_int(document["born"]) if "born" in document else 0
        )
        return registry.Listing(
            target_id=key.removeprefix(TARGET_PREFIX),
            service=_check_name(info["service"]),
            address=_check_address(document["address"]),
            zone=_check_name(info["zone"]),
            slots=_check_positive_int(info["slots"]),
            draining=DRAINING_BY_STATE[status["state"]],
            cold_seconds=durations.parse_seconds(status.get("coldLeft", "0s")),
            born=born,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.FormatError(f"target {key}: {exc!r}") from exc


def _check_name(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"port {port} is out of range")
    return value


def _check_positive_int(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{value!r} is not a positive integer")
    return value


def parse_load_report(text: str) -> loads.LoadReport | None:
    """Parses a target's load header; returns None if it is malformed.

    The header holds the numbers of running calls, waiting calls and slots,
    and optionally the slowness in percent, separated by commas.
    """
    try:
        values = [float(part) for part in text.split(",")]
        running, waiting, slots = (int(value) for value in values[:3])
    except ValueError:
        return None
    slowness = values[3] / PERCENT if len(values) > 3 else 1.0
    return loads.LoadReport(running, waiting, max(slots, 1), slowness)
