"""Parses the platform's JSON documents and load headers."""

import ipaddress
import json

from jujubeyard import durations
from jujubeyard import errors
from jujubeyard import fields
from jujubeyard.targets import loads
from jujubeyard.targets import registry

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
EVACUATION_PREFIX = OPERATOR_PREFIX + "evacuate/"
TARGET_PREFIX = "servers/"

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


def parse_listing(key: str, body: bytes) -> registry.Listing:
    """Parses a target's listing.

    Targets give all fields; a listing that lacks one is of another writer, also
    if the field isn't used.

    Args:
        key: Store key of the listing, which ends with the target's ID.
        body: The stored document.

    Raises:
        errors.FormatError: The document is malformed.
    """
    with fields.reject_malformed(f"target {key[: fields.MAX_DETAIL_LENGTH]}"):
        document = parse_json_object(body)
        info, status = document["info"], document["status"]
        fields.check_text(info["version"])
        return registry.Listing(
            target_id=fields.check_name(key.removeprefix(TARGET_PREFIX)),
            service=fields.check_name(info["service"]),
            address=_check_address(document["address"]),
            zone=fields.check_name(info["zone"]),
            slots=fields.check_integer(info["slots"], 1, MAX_SLOTS),
            draining=DRAINING_BY_STATE[status["state"]],
            cold_seconds=durations.parse_seconds(status["coldLeft"]),
            born=fields.check_integer(document["born"], minimum=1),
            seq=fields.check_integer(status["seq"]),
        )


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not fields.parse_decimal(port, MAX_PORT):
        raise ValueError("port 0 is not an address")
    return value


def parse_cold_seconds(text: str) -> float:
    """Parses how long a target stays cold, in seconds; 0.0 if it is malformed.

    Args:
        text: The header, in milliseconds; empty if there is none.
    """
    try:
        milliseconds = fields.parse_finite(text)
    except ValueError:
        return 0.0
    return max(milliseconds, 0.0) / durations.MILLISECONDS_PER_SECOND


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
