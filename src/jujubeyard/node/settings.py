"""Checked settings of a node."""

import dataclasses
import pathlib
import tomllib

from jujubeyard import durations
from jujubeyard import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or connect to.

    Attributes:
        host: IP number.
        port: Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that the operators set.

    Attributes:
        drain: Time after which a leaving target gets nothing, in seconds.
        evacuation: The same for a zone that is taken out, in seconds.
        shutdown: Time from SIGTERM to the end of the process, in seconds.
        max_hold: Longest grant that targets take, in seconds.
        retry_ratio: Retries that a service bears, by its calls.
        retry_allowance: Retries beyond that, of all nodes together.
        cold_factor: Multiple of its rate that a cold target bears.
        cold_slack: Calls beyond that in one second.
    """

    drain: float
    evacuation: float
    shutdown: float
    max_hold: float
    retry_ratio: float
    retry_allowance: float
    cold_factor: float
    cold_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    Attributes:
        node: Name of the node.
        zone: Availability zone of its VM.
        listen: Where callers connect.
        readiness: Where the balancer asks whether the node is ready.
        metrics: Where metrics are served.
        reports: Where reports of other nodes are taken.
        store: Where the store is.
        limits: Bounds.
    """

    node: str
    zone: str
    listen: Address
    readiness: Address
    metrics: Address
    reports: Address
    store: Address
    limits: Limits


def read(path: pathlib.Path) -> NodeSettings:
    """Returns the settings in a TOML file.

    Raises:
        errors.SettingsError: The file is missing, malformed or incomplete.
    """
    try:
        document = tomllib.loads(path.read_text())
        limits = document["limits"]
        return NodeSettings(
            node=_name(document["node"]),
            zone=_name(document["zone"]),
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
            ),
        )
    except OSError as exc:
        raise errors.SettingsError(f"{path}: {exc.strerror}") from exc
    except KeyError as exc:
        raise errors.SettingsError(f"{path}: {exc} is missing") from exc
    except (ValueError, TypeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    except errors.FormatError as exc:
        raise errors.SettingsError(f"{path}: {exc.message}") from exc


def _name(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a name")
    return value


def parse_address(value: object) -> Address:
    """Returns the address that a text such as "10.0.0.1:80" states.

    Raises:
        ValueError: It states none.
    """
    host, _, port = str(value).rpartition(":")
    if not host:
        raise ValueError(f"{value!r} is not IP:PORT")
    return Address(host, int(port))
