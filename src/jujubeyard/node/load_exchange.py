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
        self._sent_reports: dict[str, int] = {}
        self._sent_refusals: dict[str, int] = {}
        self._sent_limits: dict[str, int] = {}

    def make_messages(
        self, is_leader: bool, now: float, only_pressed: bool = False
    ) -> collections.abc.Iterator[datagrams.TargetLoads | datagrams.Pressure]:
        """Yields messages with what is new since the last call.

        Args:
            is_leader: Whether to include what other nodes sent.
            now: Monotonic time, in seconds.
            only_pressed: Whether to leave out reports of targets whose queues
                needn't be known at once.
        """
        reports = self._take_new_reports(is_leader, now, only_pressed)
        for part in _divide(reports, REPORTS_PER_DATAGRAM):
            yield datagrams.TargetLoads(part)
        for part in _divide(
            self._take_new_refusals(is_leader, now), REFUSING_PER_DATAGRAM
        ):
            yield datagrams.Pressure(part, ())
        for part in _divide(
            self._take_new_limits(is_leader, now), LIMITS_PER_DATAGRAM
        ):
            yield datagrams.Pressure((), part)

    def knows_limits(self) -> bool:
        """Returns whether calls are paced for the targets of any service."""
        return any(
            limit.waiting is not None
            for limit in self._registry.queue_limits.values()
        )

    def _take_new_reports(
        self, is_leader: bool, now: float, only_pressed: bool
    ) -> list[loads.AgedReport]:
        """Returns the load reports that weren't sent yet.

        They are told by their number: a report from another node was received
        there some time before it came here.
        """
        sent, self._sent_reports = self._sent_reports, {}
        new = []
        for target_id, target in self._registry.targets.items():
            load = target.load
            if only_pressed and not load.room.is_pressed(target.listing.slots):
                self._sent_reports[target_id] = sent.get(target_id, 0)
                continue
            count = load.reports if is_leader else load.own_reports
            self._sent_reports[target_id] = count
            age = now - load.reported_at
            if count != sent.get(target_id, 0) and age <= MAX_AGE_SECONDS:
                new.append(loads.AgedReport(target_id, load.report, age))
        return new

    def _take_new_refusals(
        self, is_leader: bool, now: float
    ) -> list[datagrams.RefusingTarget]:
        """Returns the refusing targets that weren't sent yet."""
        sent, self._sent_refusals = self._sent_refusals, {}
        new = []
        for target_id, target in self._registry.targets.items():
            refusal = target.load.room.refusal
            count = refusal.refusals if is_leader else refusal.own_refusals
            self._sent_refusals[target_id] = count
            age = now - refusal.changed_at
            if count != sent.get(target_id, 0) and age <= MAX_AGE_SECONDS:
                new.append(
                    datagrams.RefusingTarget(target_id, refusal.level, age)
                )
        return new

    def _take_new_limits(
        self, is_leader: bool, now: float
    ) -> list[datagrams.ServiceQueueLimit]:
        """Returns the queue limits that weren't sent yet."""
        sent, self._sent_limits = self._sent_limits, {}
        new = []
        for service, limit in self._registry.queue_limits.items():
            count = limit.observations if is_leader else limit.own_observations
            self._sent_limits[service] = count
            if count != sent.get(service, 0) and limit.waiting is not None:
                age = now - limit.full_at
                new.append(
                    datagrams.ServiceQueueLimit(service, limit.waiting, age)
                )
        return new

    def apply_pressure(self, message: datagrams.Pressure, now: float) -> None:
        """Applies what other nodes learned of the room at targets."""
        for row in message.refusing:
            target = self._registry.targets.get(row.target_id)
            if target is not None:
                refusal = target.load.room.refusal
                refusal.merge(row.level, now - row.age_seconds, now)
        for row in message.limits:
            limit = self._registry.queue_limits.get(row.service)
            if limit is not None and self._is_plausible(row):
                limit.merge(row.waiting, now - row.age_seconds)

    def _is_plausible(self, row: datagrams.ServiceQueueLimit) -> bool:
        """Returns whether so many calls may wait at any target of a service."""
        return any(
            row.waiting <= target.load.room.max_waiting(target.listing.slots)
            for target in self._registry.service_targets(row.service)
        )

    def apply(self, message: datagrams.TargetLoads, now: float) -> None:
        """Applies the load reports that other nodes received."""
        for aged in message.reports:
            target = self._registry.targets.get(aged.target_id)
            if target is not None:
                received_at = now - aged.age_seconds
                target.load.apply_report(aged.report, received_at, now)


def _divide(rows: list, size: int) -> collections.abc.Iterator[tuple]:
    """Yields the rows in parts of a size."""
    for start in range(0, len(rows), size):
        yield tuple(rows[start : start + size])
