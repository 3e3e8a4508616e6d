"""Reads and writes the platform's documents."""

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

KINDS = {"safe": True, "download": True, "unsafe": False}
"""Whether a kind of request is idempotent."""

TARGET_STATES = {"ready": False, "draining": True}
PERCENT = 100.0
PORT_LIMIT = 65536


def read_json(body: bytes) -> dict:
    """Returns the object that a body holds.

    Raises:
        errors.FormatError: It holds none.
    """
    try:
        document = json.loads(body)
    except ValueError as exc:
        raise errors.FormatError(f"not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise errors.FormatError("not a JSON object")
    return document


def read_configuration(body: bytes) -> config.Configuration:
    """Returns the configuration that an item holds.

    Raises:
        errors.FormatError: It is malformed or contradicts itself.
    """
    try:
        document = read_json(body)
        services, routes, max_body = {}, [], 0
        for entry in document["resources"]:
            kind, spec = entry["resourceKind"], entry["spec"]
            if kind == "services":
                name = entry["metadata"]["name"]
                services[name] = _read_service(name, spec)
            elif kind == "routes":
                routes.append(_read_route(entry["metadata"]["name"], spec))
            elif kind == "limits":
                max_body = int(spec["maxBodyBytes"])
        _check_references(routes, services)
        version = int(document["version"].removeprefix("r"))
        return config.Configuration(version, tuple(routes), services, max_body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.FormatError(f"configuration: {exc!r}") from exc


def _read_service(name: str, spec: dict) -> config.Service:
    return config.Service(
        name=name,
        keyed=bool(spec.get("sharded", False)),
        max_connections=int(spec["maxConns"]),
        cold_seconds=durations.parse_seconds(spec.get("coldStart", "0s")),
        cold_rate=float(spec.get("coldPerS", 0.0)),
        health_path=str(spec.get("healthPath", "/")),
    )


def _read_route(name: str, spec: dict) -> config.Route:
    if "trafficSplit" in spec:
        parts = tuple(
            config.Part(part["service"], float(part["weight"]))
            for part in spec["trafficSplit"]
        )
    else:
        parts = (config.Part(spec["service"], 1.0),)
    prefix = spec["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r}")
    return config.Route(
        name=name,
        host=str(spec["host"]),
        prefix=prefix,
        parts=parts,
        idempotent=KINDS[spec["kind"]],
        timeout=durations.parse_seconds(spec["timeout"]),
        objective=durations.parse_seconds(spec["targetLatency"]),
        max_targets=int(spec["maxAttempts"]),
        urgency=int(spec["priority"]),
    )


def _check_references(routes, services) -> None:
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                raise ValueError(f"unknown service {part.service!r}")


def read_listing(key: str, body: bytes) -> registry.Listing:
    """Returns what a target's item says.

    Raises:
        errors.FormatError: It is malformed.
    """
    try:
        document = read_json(body)
        info, status = document["info"], document["status"]
        born = _whole(document["born"]) if "born" in document else 0
        return registry.Listing(
            target_id=key.removeprefix(TARGET_PREFIX),
            service=_text(info["service"]),
            address=_address(document["address"]),
            zone=_text(info["zone"]),
            slots=_whole(info["slots"]),
            draining=TARGET_STATES[status["state"]],
            cold_seconds=durations.parse_seconds(status.get("coldLeft", "0s")),
            born=born,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.FormatError(f"target {key}: {exc!r}") from exc


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a name")
    return value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"port {port}")
    return value


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{value!r} is not a positive whole number")
    return value


def parse_load_report(text: str) -> loads.LoadReport | None:
    """Returns the load that a target's header reports; None if malformed."""
    try:
        figures = [float(part) for part in text.split(",")]
        running, waiting, slots = (int(figure) for figure in figures[:3])
    except ValueError:
        return None
    slowness = figures[3] / PERCENT if len(figures) > 3 else 1.0
    return loads.LoadReport(running, waiting, max(slots, 1), slowness)
