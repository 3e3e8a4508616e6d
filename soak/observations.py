"""What callers and targets of a soak saw, and which faults were in force."""

import collections.abc
import dataclasses
import enum
import time

from platform_standins import target

SETTLE_SECONDS = 3.0
"""How long nothing must have been wrong before bounds of time hold."""

KEPT_VERSION_ROUTES = 2
"""Latest versions whose own routes a configuration has."""

EVERYWHERE = "*"
"""Scope of a fault that concerns all nodes."""


class Rule(enum.Enum):
    """A promise that the soak checks."""

    OWNER = "a key has one owner at a time, under growing fences"
    TWICE = "a call that is not idempotent runs once"
    REFUSED = "a call that is refused has not run"
    MIXED = "an answer is the whole answer to its own call"
    LOST = "a stop of a node cuts no call"
    DRAIN = "a leaving target gets nothing after the bound"
    EVACUATION = "an evacuated zone gets nothing after the bound"
    COLD = "a cold target gets what it bears"
    BUDGET = "calls are sent again within the budget"
    CONFIGURATION = "a version is in force in time and never goes back"
    RECOVERY = "calls are served again after the faults"
    ENDED = "no node ends by itself"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A promise that was broken.

    Attributes:
        rule: The promise.
        at: When, in seconds from the start of the soak.
        detail: What was seen.
    """

    rule: Rule
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.name} at {self.at:.2f} s: {self.detail}"


@dataclasses.dataclass(slots=True)
class Call:
    """A call as its caller saw it.

    Attributes:
        call_id: Its name.
        node: The node that it was sent to.
        route: Its route.
        service: Its service.
        idempotent: Whether it may run more than once.
        sent_at: When it was sent.
        ended_at: When it was answered, cut or given up; 0.0 before.
        status: HTTP status; 0 if there was no answer.
        was_cut: Whether the connection ended without an answer.
    """

    call_id: str
    node: str
    route: str
    service: str
    idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    was_cut: bool = False


@dataclasses.dataclass(slots=True)
class Disruption:
    """A time in which something was wrong, or planned work was done.

    Attributes:
        kind: What was done.
        scope: The node or target that it concerns, or EVERYWHERE.
        start: When it began.
        end: When it ended; infinite before.
        is_planned: Whether it was planned work.
    """

    kind: str
    scope: str
    start: float
    end: float = float("inf")
    is_planned: bool = False


@dataclasses.dataclass(slots=True)
class Removal:
    """A target or zone that was to get nothing more.

    Attributes:
        name: Its name.
        start: When the store had accepted that.
        end: When it was taken back; infinite before.
    """

    name: str
    start: float
    end: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """An answer that shows whether a node knows a version.

    Attributes:
        node: The node.
        life: Number of its process.
        version: The version asked for.
        sent_at: When it was asked.
        knows: Whether it does.
    """

    node: str
    incarnation: int
    version: int
    sent_at: float
    is_in_force: bool


@dataclasses.dataclass
class Observations:
    """All that was seen; times are monotonic, in seconds."""

    started_at: float
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    arrivals: list[target.Arrival] = dataclasses.field(default_factory=list)
    answers: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    drains: list[Removal] = dataclasses.field(default_factory=list)
    evacuations: list[Removal] = dataclasses.field(default_factory=list)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    versions: dict[int, float] = dataclasses.field(default_factory=dict)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    findings: list[Finding] = dataclasses.field(default_factory=list)

    def add_finding(self, rule: Rule, at: float, detail: str) -> None:
        """Adds a finding."""
        self.findings.append(Finding(rule, at - self.started_at, detail))

    def note_arrival(self, arrival: target.Arrival) -> None:
        """Takes a call that reached a target that may run it."""
        self.arrivals.append(arrival)

    def note_answer(self, call_id: str, body: str) -> None:
        """Takes the body that a target made for a call."""
        self.answers.setdefault(call_id, set()).add(body)

    def note_conflict(self, detail: str) -> None:
        """Takes a key that two targets hold, or a fence that didn't grow."""
        self.add_finding(Rule.OWNER, time.monotonic(), detail)

    def is_undisrupted(
        self,
        scopes: collections.abc.Set[str],
        start: float,
        end: float,
        allow_planned: bool = False,
    ) -> bool:
        """Returns whether nothing was wrong in a time.

        Args:
            scopes: Nodes and targets that matter.
            start: Begin of the time; faults shortly before it count.
            end: End of the time.
            allow_planned: Whether planned stops may be in it.
        """
        return not any(
            disruption.start <= end
            and disruption.end >= start - SETTLE_SECONDS
            and not (disruption.is_planned and allow_planned)
            and (disruption.scope == EVERYWHERE or disruption.scope in scopes)
            for disruption in self.disruptions
        )

    def was_stopping(self, node: str, start: float, end: float) -> bool:
        """Returns whether a node was being stopped in a time."""
        return any(
            disruption.is_planned
            and disruption.scope == node
            and disruption.start <= end
            and disruption.end >= start
            for disruption in self.disruptions
        )
