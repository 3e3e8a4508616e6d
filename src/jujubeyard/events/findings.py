"""What checks of a history need and return."""

import dataclasses

from jujubeyard.events import kinds

MICROSECONDS_PER_SECOND = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: Which one.
        message: What happened.
        events: The events that show it.
    """

    promise: str
    message: str
    events: tuple[dict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterInfo:
    """What the checker has to know besides the history.

    Attributes:
        zones: Availability zone of each target.
        slots: Slots of each target.
    """

    zones: dict[str, str]
    slots: dict[str, int]


def select(history: list[dict], *wanted: kinds.EventKind) -> list[dict]:
    """Returns the events of some kinds."""
    names = {str(kind) for kind in wanted}
    return [event for event in history if event["kind"] in names]


def seconds_between(earlier: dict, later: dict) -> float:
    """Returns the time between two events."""
    return (later["clock"] - earlier["clock"]) / MICROSECONDS_PER_SECOND
