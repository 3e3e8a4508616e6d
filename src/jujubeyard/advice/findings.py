"""Findings on a configuration, with their codes."""

import dataclasses
import enum

from jujubeyard.routing import config


class Severity(enum.Enum):
    """How much a finding matters."""

    ERROR = "error"
    """Nodes can't use the entry or the document as it is."""

    WARNING = "warning"
    """Nodes can use it, but it is hardly what was meant."""

    NOTE = "note"


class FindingCode(enum.IntEnum):
    """Numeric code of a finding."""

    UNREADABLE_DOCUMENT = 500
    UNREADABLE_ENTRY = 501
    VERSION_NOT_NEWER = 502
    SAME_PREFIX = 510
    HOST_NEVER_MATCHES = 511
    PREFIX_NEVER_MATCHES = 512
    ZERO_WEIGHT = 513
    UNUSED_SERVICE = 514
    SAME_NAME = 515
    OBJECTIVE_ABOVE_TIMEOUT = 520
    NO_TIME_FOR_CALL = 521
    NO_TIME_FOR_RETRY = 522
    ZERO_COLD_RATE = 523
    CONNECTIONS_BELOW_NODES = 524
    ATTEMPTS_ABOVE_TARGETS = 525
    ADDED = 530
    REMOVED = 531
    CHANGED = 532
    CALLS_LOSE_ROUTE = 533
    IDEMPOTENCE_CHANGED = 534


@dataclasses.dataclass(frozen=True, slots=True)
class CodeInfo:
    """Meaning of a code.

    Attributes:
        severity: How much a finding with the code matters.
        summary: One-line description, also shown in the docs.
    """

    severity: Severity
    summary: str


_ERROR, _WARNING, _NOTE = Severity
CODE_INFO: dict[FindingCode, CodeInfo] = {
    FindingCode.UNREADABLE_DOCUMENT: CodeInfo(
        _ERROR, "Nodes reject the document and keep the version before."
    ),
    FindingCode.UNREADABLE_ENTRY: CodeInfo(
        _ERROR, "Nodes can't read the entry; the others are in force."
    ),
    FindingCode.VERSION_NOT_NEWER: CodeInfo(
        _ERROR, "Nodes ignore a version that isn't newer than theirs."
    ),
    FindingCode.SAME_PREFIX: CodeInfo(
        _WARNING, "A later route of the same host and prefix gets all calls."
    ),
    FindingCode.HOST_NEVER_MATCHES: CodeInfo(
        _WARNING, "No call has such a host name."
    ),
    FindingCode.PREFIX_NEVER_MATCHES: CodeInfo(
        _WARNING, "No path of a call begins so."
    ),
    FindingCode.ZERO_WEIGHT: CodeInfo(
        _WARNING, "The part of the route gets no calls."
    ),
    FindingCode.UNUSED_SERVICE: CodeInfo(
        _WARNING, "No route names the service."
    ),
    FindingCode.SAME_NAME: CodeInfo(
        _WARNING, "Routes share a name, and the logs can't tell them apart."
    ),
    FindingCode.OBJECTIVE_ABOVE_TIMEOUT: CodeInfo(
        _WARNING, "Calls time out before their latency objective."
    ),
    FindingCode.NO_TIME_FOR_CALL: CodeInfo(
        _ERROR, "The timeout is too short for any call to be sent."
    ),
    FindingCode.NO_TIME_FOR_RETRY: CodeInfo(
        _WARNING, "The timeout is too short for more than one attempt."
    ),
    FindingCode.ZERO_COLD_RATE: CodeInfo(
        _WARNING, "Targets that are cold get next to no calls."
    ),
    FindingCode.CONNECTIONS_BELOW_NODES: CodeInfo(
        _WARNING, "A target takes fewer connections than there are nodes."
    ),
    FindingCode.ATTEMPTS_ABOVE_TARGETS: CodeInfo(
        _WARNING, "The route allows more attempts than there are targets."
    ),
    FindingCode.ADDED: CodeInfo(_NOTE, "The entry is new."),
    FindingCode.REMOVED: CodeInfo(_NOTE, "The entry is gone."),
    FindingCode.CHANGED: CodeInfo(_NOTE, "A field has another value."),
    FindingCode.CALLS_LOSE_ROUTE: CodeInfo(
        _WARNING, "Calls that have a route in force get 404."
    ),
    FindingCode.IDEMPOTENCE_CHANGED: CodeInfo(
        _WARNING, "Calls begin or cease to run more than once."
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that an operator should know.

    Attributes:
        code: What it is.
        kind: Kind of the entry; None for the document as a whole.
        name: Name of the entry; empty for the document as a whole.
        field: The field in question; empty for the entry as a whole.
        detail: Values, and what they do to callers.
    """

    code: FindingCode
    kind: config.EntryKind | None
    name: str
    field: str
    detail: str

    @property
    def severity(self) -> Severity:
        """How much it matters."""
        return CODE_INFO[self.code].severity


def on_route(
    code: FindingCode, route: config.Route, field: str, detail: str
) -> Finding:
    """Returns a finding on a route."""
    return Finding(code, config.EntryKind.ROUTE, route.name, field, detail)


def on_service(
    code: FindingCode, service: config.Service, field: str, detail: str
) -> Finding:
    """Returns a finding on a service."""
    return Finding(code, config.EntryKind.SERVICE, service.name, field, detail)
