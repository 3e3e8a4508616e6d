"""Events of one process: a bounded memory and, for tests, a file."""

import collections
import json
import pathlib
import typing

from jujubeyard import clock
from jujubeyard.events import kinds

MAX_EVENTS = 4096
"""Events that a process keeps in memory."""

PER_CALL = frozenset(
    {
        kinds.EventKind.SEND,
        kinds.EventKind.REPLY,
        kinds.EventKind.CALL_ANSWERED,
    }
)
"""Kinds that are kept only while a history is recorded."""


class Timeline:
    """Records what a process did.

    An event is a flat document with "clock" (hybrid clock, microseconds),
    "process", "kind" and fields of its kind.

    Attributes:
        records_calls: Whether events of single calls are recorded.
    """

    def __init__(self, process: str, path: pathlib.Path | None = None):
        self.process = process
        self.records_calls = path is not None
        self._recent: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._file: typing.TextIO | None = None
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def add(self, kind: kinds.EventKind, **fields) -> None:
        """Records one event."""
        if kind in PER_CALL and not self.records_calls:
            return
        event = {
            "clock": clock.hybrid_clock.now(),
            "process": self.process,
            "kind": str(kind),
            **fields,
        }
        if kind not in PER_CALL:
            self._recent.append(event)
        if self._file is not None:
            self._file.write(json.dumps(event) + "\n")

    def since(self, reading: int) -> list[dict]:
        """Returns the remembered events after a clock reading."""
        return [event for event in self._recent if event["clock"] > reading]


def merge(histories: list[list[dict]]) -> list[dict]:
    """Merges histories into one, ordered by the hybrid clock."""
    merged = [event for history in histories for event in history]
    merged.sort(key=lambda event: (event["clock"], event["process"]))
    return merged


def read_files(paths: list[pathlib.Path]) -> list[dict]:
    """Reads and merges recorded histories.

    A last line that was cut off by the end of its process is passed over.
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
