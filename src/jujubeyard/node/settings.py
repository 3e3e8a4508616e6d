"""Reads and validates the settings of a node."""

import dataclasses
import math
import pathlib
import tomllib

from jujubeyard import durations
from jujubeyard import errors

DEFAULT_MEMORY_MB = 200
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or connect to.

    Attributes:
        host: IP address.
        port: TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the operators configure.

    Attributes:
        drain: Time after which a draining target receives no calls, in
            seconds.
        evacuation: Time after which the targets of an evacuated zone receive
            no calls, in seconds.
        shutdown: Time from SIGTERM to the end of the process, in seconds.
        max_hold: Longest hold that targets accept in a grant, in seconds.
        retry_ratio: Retries that a service can handle for each of its calls.
        retry_allowance: Further retries, of all nodes together.
        cold_factor: Load that a cold target can handle in a second, as a
            multiple of the cold rate of its service.
        cold_slack: Further calls that a cold target can handle in a second.
        memory_bytes: Memory of the VM that the process may use, in bytes.
    """

    drain: float
    evacuation: float
    shutdown: float
    max_hold: float
    retry_ratio: float
    retry_allowance: float
    cold_factor: float
    cold_slack: float
    memory_bytes: int = DEFAULT_MEMORY_MB * BYTES_PER_MB


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    Attributes:
        node: Name of the node.
        zone: Availability zone of its VM.
        listen: Address at which callers connect.
        readiness: Address of the readiness checks.
        metrics: Address at which metrics are served.
        reports: Address at which datagrams of other nodes are received.
        store: Address of the store.
        limits: Limits that the operators configure.
    """

    node: str
    zone: str
    listen: Address
    readiness: Address
    metrics: Address
    reports: Address
    store: Address
    limits: Limits


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Returns the settings in a TOML file.

    Args:
        path: Path of the file.

    Raises:
        errors.SettingsError: The file is missing, malformed or incomplete.
    """
    try:
        document = tomllib.loads(path.read_text())
        limits = document["limits"]
        return NodeSettings(
            node=_parse_name(document["node"]),
            zone=_parse_name(document["zone"]),
            listen=parse_address(document["listen"]),
            readiness=parse_address(document["readiness"]),
            metrics=parse_address(document["metrics"]),
            reports=parse_address(document["reports"]),
            store=parse_address(document["store"]),
            limits=Limits(
                drain=durations.parse_seconds(limits["drain"]),
                evacuation=durations.parse_seconds(limits["evacuation"]),
                shutdown=durations.parse_seconds(limits["shutdown"]),
                max_hold=durations.parse_seconds(limits["max_hold"]),
                retry_ratio=float(limits["retry_ratio"]),
                retry_allowance=float(limits["retry_allowance"]),
                cold_factor=float(limits["cold_factor"]),
                cold_slack=float(limits["cold_slack"]),
                memory_bytes=_parse_memory(
                    limits.get("memory_mb", DEFAULT_MEMORY_MB)
                ),
            ),
        )
    except OSError as exc:
        raise errors.SettingsError(f"{path}: {exc.strerror}") from exc
    except KeyError as exc:
        raise errors.SettingsError(f"{path}: setting {exc} is missing") from exc
    except (ValueError, TypeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    except errors.FormatError as exc:
        raise errors.SettingsError(f"{path}: {exc.message}") from exc


def _parse_name(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _parse_memory(value: object) -> int:
    """Returns a size in bytes.

    Raises:
        ValueError: The size isn't a positive number of MB.
    """
    megabytes = float(value)
    if not 0 < megabytes < math.inf:
        raise ValueError(f"{value!r} is not a positive number of MB")
    return int(megabytes * BYTES_PER_MB)


def parse_address(value: object) -> Address:
    """Parses an address such as "10.0.0.1:80".

    Args:
        value: The text, of the form "IP:PORT".

    Raises:
        ValueError: The text is not of this form.
    """
    host, _, port = str(value).rpartition(":")
    if not host:
        raise ValueError(f"{value!r} is not an address of the form IP:PORT")
    return Address(host, int(port))
