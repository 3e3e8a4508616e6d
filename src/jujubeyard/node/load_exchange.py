"""Shares what nodes see of the targets' loads.

Load answered: many nodes that each seldom hear from a target. Nodes send the
leader what they saw since the last time, and the leader sends all of it on.
"""

import collections.abc

from jujubeyard.node import datagrams
from jujubeyard.targets import loads
from jujubeyard.targets import registry

ROWS_PER_DATAGRAM = 36
"""LoadExchange that fit into a datagram."""

OLDEST_SECONDS = 2.0
"""Age from which a report says nothing any more."""


class LoadExchange:
    """What a node has to tell of loads, and what it is told."""

    def __init__(self, known: registry.Registry):
        self._registry = known
        self._told_at = 0.0

    def collect(
        self, leads: bool, now: float
    ) -> collections.abc.Iterator[datagrams.Loads]:
        """Returns what came since the last time.

        Args:
            leads: Whether to tell what other nodes saw as well.
            now: Monotonic time, in seconds.
        """
        since, self._told_at = self._told_at, now
        rows = []
        for target_id, target in self._registry.targets.items():
            load = target.load
            at = load.reported_at if leads else load.own_report_at
            if at > max(since, now - OLDEST_SECONDS):
                row = loads.AgedReport(target_id, load.report, now - at)
                rows.append(row)
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            part = rows[start : start + ROWS_PER_DATAGRAM]
            yield datagrams.Loads(tuple(part))

    def take(self, message: datagrams.Loads, now: float) -> None:
        """Takes what others saw."""
        for row in message.rows:
            target = self._registry.targets.get(row.target_id)
            if target is not None:
                seen_at = now - row.age_seconds
                target.load.apply_report(row.report, seen_at)
