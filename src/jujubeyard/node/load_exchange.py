"""Exchange of target loads between the nodes, through the leader.

With many nodes, each of them rarely gets an answer from a given target, and
so rarely receives its load report. Nodes therefore send new reports to the
leader, which forwards the reports of all nodes.
"""

import collections.abc

from jujubeyard.node import datagrams
from jujubeyard.targets import loads
from jujubeyard.targets import registry

REFUSING_PER_DATAGRAM = 36
"""Number of refusing targets that fit into a datagram."""

LIMITS_PER_DATAGRAM = 4
"""Number of queue limits in a datagram; names of services may be long."""

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
    ) -> collections.abc.Iterator[datagrams.TargetLoads | datagrams.Pressure]:
        """Yields messages with what was received since the last call.

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
        oldest = max(since, now - MAX_AGE_SECONDS)
        yield from self._make_refusal_messages(is_leader, oldest, now)
        yield from self._make_limit_messages(is_leader, oldest, now)

    def _make_refusal_messages(
        self, is_leader: bool, oldest: float, now: float
    ) -> collections.abc.Iterator[datagrams.Pressure]:
        """Yields messages with the targets found refusing since a time."""
        refusing = []
        for target_id, target in self._registry.targets.items():
            refusal = target.load.room.refusal
            at = refusal.refused_at if is_leader else refusal.own_refused_at
            if at > oldest:
                refusing.append(
                    datagrams.RefusingTarget(target_id, refusal.level, now - at)
                )
        for start in range(0, len(refusing), REFUSING_PER_DATAGRAM):
            part = refusing[start : start + REFUSING_PER_DATAGRAM]
            yield datagrams.Pressure(tuple(part), ())

    def _make_limit_messages(
        self, is_leader: bool, oldest: float, now: float
    ) -> collections.abc.Iterator[datagrams.Pressure]:
        """Yields messages with the limits observed since a time."""
        limits = []
        for service, limit in self._registry.queue_limits.items():
            at = limit.full_at if is_leader else limit.own_full_at
            if limit.waiting is not None and at > oldest:
                limits.append(
                    datagrams.ServiceQueueLimit(
                        service, limit.waiting, now - at
                    )
                )
        for start in range(0, len(limits), LIMITS_PER_DATAGRAM):
            part = limits[start : start + LIMITS_PER_DATAGRAM]
            yield datagrams.Pressure((), tuple(part))

    def apply_pressure(self, message: datagrams.Pressure, now: float) -> None:
        """Applies what other nodes learned of the room at targets."""
        for row in message.refusing:
            target = self._registry.targets.get(row.target_id)
            if target is not None:
                refusal = target.load.room.refusal
                refusal.merge(row.level, now - row.age_seconds, now)
        for row in message.limits:
            limit = self._registry.queue_limits.get(row.service)
            if limit is not None:
                limit.merge(row.waiting, now - row.age_seconds)

    def apply(self, message: datagrams.TargetLoads, now: float) -> None:
        """Applies the load reports that other nodes received."""
        for aged in message.reports:
            target = self._registry.targets.get(aged.target_id)
            if target is not None:
                received_at = now - aged.age_seconds
                target.load.apply_report(aged.report, received_at)
