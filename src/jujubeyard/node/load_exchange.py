"""Exchange of target loads between the nodes, through the leader.

With many nodes, each of them rarely gets an answer from a given target, and
so rarely receives its load report. Nodes therefore send new reports to the
leader, which forwards the reports of all nodes.
"""

import collections.abc

from jujubeyard.node import datagrams
from jujubeyard.targets import loads
from jujubeyard.targets import registry

REPORTS_PER_DATAGRAM = 36
"""Number of load reports that fit into a datagram."""

MAX_AGE_SECONDS = 2.0
"""Age from which a load report is no longer sent, as it says nothing about the
present load any more."""


class LoadExchange:
    """Sends new load reports to other nodes, and applies theirs."""

    def __init__(self, targets: registry.Registry):
        self._registry = targets
        self._last_made_at = 0.0

    def make_messages(
        self, is_leader: bool, now: float
    ) -> collections.abc.Iterator[datagrams.TargetLoads]:
        """Yields messages with the reports received since the last call.

        Args:
            is_leader: Whether to include reports that other nodes received.
            now: Monotonic time, in seconds.
        """
        since, self._last_made_at = self._last_made_at, now
        reports = []
        for target_id, target in self._registry.targets.items():
            load = target.load
            received_at = load.reported_at if is_leader else load.own_report_at
            if received_at > max(since, now - MAX_AGE_SECONDS):
                report = loads.AgedReport(
                    target_id, load.report, now - received_at
                )
                reports.append(report)
        for start in range(0, len(reports), REPORTS_PER_DATAGRAM):
            part = reports[start : start + REPORTS_PER_DATAGRAM]
            yield datagrams.TargetLoads(tuple(part))

    def apply(self, message: datagrams.TargetLoads, now: float) -> None:
        """Applies the load reports that other nodes received."""
        for aged in message.reports:
            target = self._registry.targets.get(aged.target_id)
            if target is not None:
                received_at = now - aged.age_seconds
                target.load.apply_report(aged.report, received_at)
