"""Eras of the store: the periods between its returns from older copies.

Within an era the store loses nothing that it has acknowledged, and revisions
only grow. The next era begins with a copy of the one before: changes of some
seconds are gone, and their revisions are given out again.
"""

import collections.abc
import typing

from jujubeyard import clock

UNKNOWN_ERA = 0
"""Era of a store that doesn't tell it."""


class Journal(typing.Protocol):
    """Log of the changes of the era."""

    def log_event(self, event: str, **fields) -> None:
        """Logs an event.

        Args:
            event: Text of the event.
            **fields: Fields of the log line.
        """


class EraTracker:
    """The newest era of the store that this node knows of.

    Attributes:
        current: The era; `UNKNOWN_ERA` before the first is known.
        learned_at: When the node learned of it, in boot time; the time of the
            tracker's creation before that. The era began earlier.
        changes: Number of times that a newer era has replaced one.
        first: First era that it knew; `UNKNOWN_ERA` before.
    """

    def __init__(self, log: Journal):
        """Initializes a tracker that knows no era.

        Args:
            log: Log of the changes of the era.
        """
        self._log = log
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self.current = UNKNOWN_ERA
        self.learned_at = clock.boottime()
        self.changes = 0
        self.first = UNKNOWN_ERA

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Adds a function that is called once a newer era is known."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Takes note of an era; an earlier one than the current is ignored.

        Args:
            era: The era that an answer of the store names.
        """
        if era <= self.current:
            return
        before, self.current = self.current, era
        self.learned_at = clock.boottime()
        if before == UNKNOWN_ERA:
            self.first = era
            self._log.log_event("store era known", era=era)
        else:
            self.changes += 1
            self._log.log_event("store went back", era=era, before=before)
        for listener in self._listeners:
            listener()
