"""Input, results and helper functions of the history checks."""

import dataclasses

from jujubeyard.events import kinds

MICROSECONDS_PER_SECOND = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee of the system.

    Attributes:
        promise: Name of the guarantee.
        message: Description of the violation.
        events: The events that show the violation.
    """

    promise: str
    message: str
    events: tuple[dict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterInfo:
    """Facts about the cluster that the history does not contain.

    Attributes:
        zones: Availability zone of each target, by name of the target.
        slots: Number of slots of each target, by name of the target.
    """

    zones: dict[str, str]
    slots: dict[str, int]


def select_events(
    history: list[dict], *event_kinds: kinds.EventKind
) -> list[dict]:
    """Selects events by kind.

    Args:
        history: Events of all processes.
        *event_kinds: The kinds to select.

    Returns:
        The events of these kinds, in the order of the history.
    """
    kind_names = {str(kind) for kind in event_kinds}
    return [event for event in history if event["kind"] in kind_names]


def seconds_between(earlier: dict, later: dict) -> float:
    """Returns the seconds between two events."""
    return (later["clock"] - earlier["clock"]) / MICROSECONDS_PER_SECOND
