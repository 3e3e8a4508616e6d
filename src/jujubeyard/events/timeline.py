"""Records the events of a process in memory and, for tests, in a file."""

import collections
import json
import pathlib
import typing

from jujubeyard import clock
from jujubeyard.events import kinds

MAX_EVENTS = 4096
"""Maximum number of events that a process keeps in memory."""

PER_CALL_KINDS = frozenset(
    {
        kinds.EventKind.SEND,
        kinds.EventKind.REPLY,
        kinds.EventKind.CALL_ANSWERED,
    }
)
"""Kinds that are recorded only if there is a history file."""


class Timeline:
    """Records the events of a process.

    An event is a flat dictionary with "clock" (hybrid clock, microseconds),
    "process", "kind" and the fields of its kind.

    Attributes:
        process: Name of the process.
        records_calls: Whether events of individual calls are recorded.
    """

    def __init__(self, process: str, path: pathlib.Path | None = None):
        """Creates an empty timeline.

        Args:
            process: Name of the process.
            path: History file to append to, or None to keep events in memory
                only.
        """
        self.process = process
        self.records_calls = path is not None
        self._recent: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._file: typing.TextIO | None = None
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def add(self, kind: kinds.EventKind, **fields) -> None:
        """Records an event.

        Args:
            kind: Kind of the event.
            **fields: Further fields of the event, which must be serializable
                as JSON.
        """
        if kind in PER_CALL_KINDS and not self.records_calls:
            return
        event = {
            "clock": clock.hybrid_clock.now(),
            "process": self.process,
            "kind": str(kind),
            **fields,
        }
        if kind not in PER_CALL_KINDS:
            self._recent.append(event)
        if self._file is not None:
            self._file.write(json.dumps(event) + "\n")

    def events_after(self, reading: int) -> list[dict]:
        """Returns the events in memory that are later than a time.

        Args:
            reading: Reading of the hybrid clock, in microseconds.
        """
        return [event for event in self._recent if event["clock"] > reading]


def merge(histories: list[list[dict]]) -> list[dict]:
    """Merges histories into one that is ordered by the hybrid clock."""
    merged = [event for history in histories for event in history]
    merged.sort(key=lambda event: (event["clock"], event["process"]))
    return merged


def read_histories(paths: list[pathlib.Path]) -> list[dict]:
    """Reads and merges history files.

    Lines that are not valid JSON are skipped, because a process that is
    killed may leave a truncated last line.

    Args:
        paths: The history files.

    Returns:
        The events of all files, ordered by the hybrid clock.
    """
    histories = []
    for path in paths:
        history = []
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                history.append(json.loads(line))
            except json.JSONDecodeError:
                continue
        histories.append(history)
    return merge(histories)
