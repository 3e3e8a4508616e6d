"""What callers and targets of a soak observed, and which faults were active."""

import collections.abc
import dataclasses
import enum

from platform_standins import records

SETTLE_SECONDS = 3.0
"""How long after its end a disruption still excuses violations."""

WAKE_SECONDS = 0.05
"""How long after a disruption has ended the soak may note that."""

KEPT_VERSION_ROUTES = 2
"""How many of the latest versions have a route of their own."""

EVERYWHERE = "*"
"""Scope of a fault that affects all nodes."""


class Rule(enum.Enum):
    """A guarantee that the soak checks."""

    OWNER = "a key has one owner at a time, under increasing fences"
    TWICE = "a call that is not idempotent runs at most once"
    REFUSED = "a refused call has not run"
    MIXED = "a response is complete and belongs to its call"
    LOST = "a planned stop of a node interrupts no call"
    DRAIN = "a drained or unlisted target gets no calls after the drain limit"
    EVACUATION = "an evacuated zone gets no calls after the evacuation limit"
    COLD = "a cold target gets no more calls than it can handle"
    BUDGET = "retries stay within the retry budget"
    CONFIGURATION = "a version takes effect in time and is never rolled back"
    RECOVERY = "calls are served again after the faults end"
    ENDED = "no node process exits unexpectedly"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a guarantee.

    Attributes:
        rule: The guarantee.
        at: When it was violated, in seconds from the start of the soak.
        detail: What was observed.
    """

    rule: Rule
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.name} at {self.at:.2f} s: {self.detail}"


@dataclasses.dataclass(slots=True)
class Call:
    """A call as observed by its caller.

    Attributes:
        call_id: Its ID.
        node: The name of the node that it was sent to.
        route: The name of its route.
        service: The name of its service.
        idempotent: Whether it may run more than once.
        sent_at: When it was sent, in monotonic seconds.
        ended_at: When it was answered, interrupted or abandoned, in
            monotonic seconds; 0.0 while it is open.
        status: HTTP status; 0 if there was no response.
        was_interrupted: Whether its connection broke before the response was
            complete.
        body: Body of a successful response.
        is_signed: Whether that was signed by a target.
    """

    call_id: str
    node: str
    route: str
    service: str
    idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    was_interrupted: bool = False
    body: str = ""
    is_signed: bool = False


@dataclasses.dataclass(slots=True)
class Disruption:
    """A period in which a fault was active or a node was being stopped.

    Attributes:
        kind: What the fault or the planned work was.
        scope: The name of the affected node or target, or EVERYWHERE.
        start: When it began, in monotonic seconds.
        end: When it ended, in monotonic seconds; infinite until then.
        is_planned: Whether it was planned work, not a fault.
    """

    kind: str
    scope: str
    start: float
    end: float = float("inf")
    is_planned: bool = False


@dataclasses.dataclass(slots=True)
class Removal:
    """A drained or unlisted target, or an evacuated zone.

    Attributes:
        name: The name of the target or zone.
        start: When the store accepted the removal, in monotonic seconds.
        end: When it was revoked, in monotonic seconds; infinite until then.
    """

    name: str
    start: float
    end: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A response that shows whether a version is in force on a node.

    Attributes:
        node: The name of the node.
        incarnation: The number of the node's process, from 1.
        version: The version of the configuration.
        sent_at: When the probe was sent, in monotonic seconds.
        is_in_force: Whether the node served the route of the version.
    """

    node: str
    incarnation: int
    version: int
    sent_at: float
    is_in_force: bool


@dataclasses.dataclass
class Observations:
    """All observations of a soak.

    Attributes:
        started_at: When the soak started, in monotonic seconds.
        calls: Calls of the callers and the prober, by call ID.
        arrivals: Calls that reached targets.
        responses: Response bodies that targets created, by call ID.
        disruptions: Faults and planned stops.
        drains: Targets that were drained or unlisted.
        evacuations: Availability zones that were evacuated.
        zones: The availability zone of each target, by target name.
        versions: When the store accepted each version of the configuration,
            in monotonic seconds.
        probes: Responses to probes of configuration versions.
        findings: Violations found so far.
        node_names: Names of the nodes.
    """

    started_at: float
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    arrivals: list[records.Arrival] = dataclasses.field(default_factory=list)
    responses: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    drains: list[Removal] = dataclasses.field(default_factory=list)
    evacuations: list[Removal] = dataclasses.field(default_factory=list)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    versions: dict[int, float] = dataclasses.field(default_factory=dict)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    findings: list[Finding] = dataclasses.field(default_factory=list)
    node_names: set[str] = dataclasses.field(default_factory=set)

    def add_events(
        self, events: collections.abc.Iterable[records.Event]
    ) -> None:
        """Adds what a target recorded."""
        for event in events:
            if isinstance(event, records.Arrival):
                self.arrivals.append(event)
            elif isinstance(event, records.Responded):
                self.responses.setdefault(event.call_id, set()).add(event.body)

    def add_finding(self, rule: Rule, at: float, detail: str) -> None:
        """Adds a finding.

        Args:
            rule: The violated guarantee.
            at: When it was violated, in monotonic seconds.
            detail: What was observed.
        """
        self.findings.append(Finding(rule, at - self.started_at, detail))

    def is_undisrupted(
        self,
        scopes: collections.abc.Set[str],
        start: float,
        end: float,
        allow_planned: bool = False,
    ) -> bool:
        """Returns whether a period is free of disruptions.

        Args:
            scopes: Names of the nodes and targets to consider.
            start: Start of the period, in monotonic seconds. Disruptions
                that ended less than SETTLE_SECONDS earlier count too.
            end: End of the period, in monotonic seconds.
            allow_planned: Whether to ignore planned stops.
        """
        return not any(
            disruption.start <= end
            and disruption.end >= start - SETTLE_SECONDS
            and not (disruption.is_planned and allow_planned)
            and (disruption.scope == EVERYWHERE or disruption.scope in scopes)
            for disruption in self.disruptions
        )

    def has_just_ended(
        self,
        kinds: collections.abc.Set[str],
        scopes: collections.abc.Set[str],
        at: float,
        seconds: float,
    ) -> bool:
        """Returns whether a disruption has ended shortly before a time.

        Args:
            kinds: Kinds of disruptions to consider.
            scopes: Names of the nodes and targets to consider.
            at: The time, in monotonic seconds.
            seconds: How long before it a disruption may have ended.
        """
        return any(
            disruption.kind in kinds
            and disruption.scope in scopes
            and disruption.start <= at
            and at - seconds <= disruption.end <= at + WAKE_SECONDS
            for disruption in self.disruptions
        )

    def was_stopping(self, node: str, start: float, end: float) -> bool:
        """Returns whether a planned stop of a node overlaps a period."""
        return any(
            disruption.is_planned
            and disruption.scope == node
            and disruption.start <= end
            and disruption.end >= start
            for disruption in self.disruptions
        )
