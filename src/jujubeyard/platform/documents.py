"""Parses the platform's JSON documents and load headers."""

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
        services, routes, max_body = {}, [], 0
        for resource in document["resources"]:
            kind, spec = resource["resourceKind"], resource["spec"]
            if kind == "services":
                name = resource["metadata"]["name"]
                services[name] = _parse_service(name, spec)
            elif kind == "routes":
                routes.append(_parse_route(resource["metadata"]["name"], spec))
            elif kind == "limits":
                max_body = int(spec["maxBodyBytes"])
        _check_service_names(routes, services)
        version = int(document["version"].removeprefix("r"))
        return config.Configuration(version, tuple(routes), services, max_body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.FormatError(f"configuration: {exc!r}") from exc


def _parse_service(name: str, spec: dict) -> config.Service:
    return config.Service(
        name=name,
        keyed=bool(spec.get("sharded", False)),
        max_connections=int(spec["maxConns"]),
        cold_seconds=durations.parse_seconds(spec.get("coldStart", "0s")),
        cold_rate=float(spec.get("coldPerS", 0.0)),
        health_path=str(spec.get("healthPath", "/")),
    )


def _parse_route(name: str, spec: dict) -> config.Route:
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
        name=name,
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
