"""Parses the platform's JSON documents and load headers."""

import dataclasses
import ipaddress
import json

from jujubeyard import durations
from jujubeyard import errors
from jujubeyard import fields
from jujubeyard.routing import config
from jujubeyard.targets import loads
from jujubeyard.targets import registry

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
EVACUATION_PREFIX = OPERATOR_PREFIX + "evacuate/"
TARGET_PREFIX = "servers/"

IDEMPOTENT_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}
"""Whether calls of a route are idempotent, by the kind of the route."""

DRAINING_BY_STATE = {"ready": False, "draining": True}
"""Whether a target is draining, by the state in its listing."""

PERCENT = 100.0
MAX_PORT = 65535
MAX_SLOTS = 1_000_000
MAX_LOAD_CALLS = 1_000_000_000
MAX_SLOWNESS_PERCENT = 1_000_000


def parse_json_object(body: bytes) -> dict:
    """Parses a JSON object.

    Raises:
        errors.FormatError: The body is not JSON, or not an object.
    """
    with fields.reject_malformed("document is not JSON"):
        document = json.loads(body, parse_constant=_reject_constant)
    if not isinstance(document, dict):
        raise errors.FormatError("document is not a JSON object")
    return document


def _reject_constant(name: str) -> None:
    """Rejects NaN and Infinity, which aren't JSON."""
    raise ValueError(f"{name} is not a number")


def parse_configuration(body: bytes) -> config.Configuration:
    """Parses the operator's configuration.

    Raises:
        errors.FormatError: The document is malformed, or a route refers to
            an unknown service.
    """
    with fields.reject_malformed("configuration"):
        document = parse_json_object(body)
        resources = _list_resources(document)
        services = {
            spec["name"]: _parse_service(spec) for spec in resources.services
        }
        routes = tuple(map(_parse_route, resources.routes))
        _check_service_names(routes, services)
        version = fields.parse_decimal(
            document["version"].removeprefix("r"), fields.MAX_INTEGER
        )
        max_body = fields.check_integer(resources.limits.get("maxBodyBytes", 0))
        return config.Configuration(version, routes, services, max_body)


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
        name=fields.check_name(spec["name"]),
        keyed=bool(spec.get("sharded", False)),
        max_connections=fields.check_integer(spec["maxConns"]),
        cold_seconds=durations.parse_seconds(spec.get("coldStart", "0s")),
        cold_rate=fields.check_number(spec.get("coldPerS", 0.0)),
        health_path=fields.check_text(spec.get("healthPath", "/")),
    )


def _parse_route(spec: dict) -> config.Route:
    if "trafficSplit" in spec:
        shares = tuple(
            config.TrafficShare(
                part["service"], fields.check_number(part["weight"])
            )
            for part in spec["trafficSplit"]
        )
    else:
        shares = (config.TrafficShare(spec["service"], 1.0),)
    prefix = fields.check_text(spec["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} must start and end with '/'")
    return config.Route(
        name=fields.check_name(spec["name"]),
        host=fields.check_text(spec["host"]),
        prefix=prefix,
        shares=shares,
        idempotent=IDEMPOTENT_BY_KIND[spec["kind"]],
        timeout=durations.parse_seconds(spec["timeout"]),
        objective=durations.parse_seconds(spec["targetLatency"]),
        max_targets=fields.check_integer(spec["maxAttempts"]),
        urgency=fields.check_integer(spec["priority"]),
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
    with fields.reject_malformed(f"target {key[: fields.MAX_DETAIL_LENGTH]}"):
        document = parse_json_object(body)
        info, status = document["info"], document["status"]
        born = 0
        if "born" in document:
            born = fields.check_integer(document["born"], minimum=1)
        return registry.Listing(
            target_id=fields.check_name(key.removeprefix(TARGET_PREFIX)),
            service=fields.check_name(info["service"]),
            address=_check_address(document["address"]),
            zone=fields.check_name(info["zone"]),
            slots=fields.check_integer(info["slots"], 1, MAX_SLOTS),
            draining=DRAINING_BY_STATE[status["state"]],
            cold_seconds=durations.parse_seconds(status.get("coldLeft", "0s")),
            born=born,
        )


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not fields.parse_decimal(port, MAX_PORT):
        raise ValueError("port 0 is not an address")
    return value


def parse_load_report(text: str) -> loads.LoadReport | None:
    """Parses a target's load header; returns None if it is malformed.

    The header holds the numbers of running calls, waiting calls and slots,
    and optionally the slowness in percent, separated by commas.
    """
    try:
        return _parse_load_fields(text.split(","))
    except ValueError:
        return None


def _parse_load_fields(parts: list[str]) -> loads.LoadReport:
    running, waiting, slots = (
        fields.parse_decimal(part.strip(), MAX_LOAD_CALLS) for part in parts[:3]
    )
    slowness = 1.0
    if len(parts) > 3:
        percent = fields.parse_finite(parts[3])
        slowness = fields.check_number(percent, MAX_SLOWNESS_PERCENT) / PERCENT
    return loads.LoadReport(running, waiting, max(slots, 1), slowness)
