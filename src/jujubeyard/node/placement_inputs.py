"""Data about targets and load on which shard coordinators base their moves."""

import time

from jujubeyard import clock
from jujubeyard.node import cluster_view
from jujubeyard.ownership import demand
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.targets import registry

MIN_WARM_SHARE = 0.5
"""Share of warm targets below which cold targets may own keys as well."""

MIN_SAMPLES = 60.0
"""Weighted number of calls below which the load data isn't used."""

PRIOR_SAMPLES = 3.0
"""Number of calls that the service's mean counts as when it is averaged with
a target's own calls."""


class PlacementInputs:
    """The `ClusterState` of shard coordinators.

    Combines the node's view of the cluster with the reports of all nodes.
    """

    def __init__(self, view: cluster_view.ClusterView):
        self._view = view
        self._estimates: dict[str, demand.DemandEstimate] = {}

    def handle_report(self, report: demand.Report) -> None:
        """Adds a report of the load that a node measured."""
        estimate = self._estimates.setdefault(
            report.service, demand.DemandEstimate()
        )
        estimate.add(report, time.monotonic())

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""
        now = time.monotonic()
        available = [
            target
            for target in self._view.registry.service_targets(service)
            if self._view.registry.is_available(target, now)
        ]
        warm = [target for target in available if not target.is_cold(now)]
        if len(warm) < MIN_WARM_SHARE * len(available):
            warm = available
        return [
            planner.Candidate(
                make_owner(target),
                self._capacity(service, target),
                target.listing.slots,
            )
            for target in warm
        ]

    def possible_holders(
        self, service: str, hold_seconds: float
    ) -> list[table.Owner]:
        """Returns the targets that may have got keys from an earlier leader.

        Args:
            service: Name of the service.
            hold_seconds: How long a grant may last. Targets that have not been
                listed for longer hold nothing.
        """
        oldest = time.monotonic() - hold_seconds
        return [
            make_owner(target)
            for target in self._view.registry.service_targets(service)
            if not target.removed_at or target.removed_at > oldest
        ]

    def is_replaced(self, service: str, owner: table.Owner) -> bool:
        """Returns whether an owner's address has become that of another."""
        owners = map(make_owner, self._view.registry.service_targets(service))
        return any(
            other.address == owner.address and other != owner
            for other in owners
        )

    def joined_at(self, service: str) -> float:
        """Returns when a target of a service was last added, in boot time."""
        listed_at = [
            target.listed_at
            for target in self._view.registry.service_targets(service)
        ]
        offset = clock.boottime() - time.monotonic()
        return max(listed_at, default=time.monotonic()) + offset

    def shard_rates(self, shard_table: table.ShardTable) -> list[float]:
        """Returns the calls per second of each shard."""
        estimate = self._estimates.get(shard_table.service)
        if estimate is None:
            return [0.0] * len(shard_table.shards)
        return estimate.shard_rates(shard_table.shards, time.monotonic())

    def bucket_calls(self, service: str) -> list[float]:
        """Returns the number of calls by key bucket, weighted by age."""
        estimate = self._estimates.get(service)
        return estimate.calls if estimate else [0.0] * demand.BUCKETS

    def observe_reply(
        self, owner: table.Owner, reply: target_requests.Reply
    ) -> None:
        """Applies what a target's reply says about the target."""
        now = time.monotonic()
        target = self._find_target(owner)
        if target is None:
            return
        target.observe_notice(reply.notice, now)
        if reply.cold_seconds:
            target.observe_cold(reply.cold_seconds, now)
        if reply.report is not None:
            target.load.observe_report(reply.report, now)

    def pause_seconds(self, owner: table.Owner) -> float:
        """Returns how long an owner still wants no requests, in seconds."""
        target = self._find_target(owner)
        if target is None:
            return 0.0
        return target.load.pause_seconds(time.monotonic())

    def _find_target(self, owner: table.Owner) -> registry.Target | None:
        """Returns the listed target if it is still the owner's incarnation."""
        target = self._view.registry.targets.get(owner.target_id)
        if target is None or target.listing.born != owner.born:
            return None
        return target

    def may_balance(self, service: str) -> bool:
        """Returns whether there is enough load data to balance shards."""
        estimate = self._estimates.get(service)
        return estimate is not None and estimate.samples >= MIN_SAMPLES

    def _capacity(self, service: str, target: registry.Target) -> float:
        """Returns the number of calls that a target can serve per second."""
        slots = float(target.listing.slots)
        estimate = self._estimates.get(service)
        mean = estimate.mean_work_seconds() if estimate else 0.0
        if not mean:
            return slots
        count, seconds = estimate.measured_work(target.listing.target_id)
        total = count * seconds + PRIOR_SAMPLES * mean
        return slots * (count + PRIOR_SAMPLES) / total


def make_owner(target: registry.Target) -> table.Owner:
    """Returns the current incarnation of a target as an owner of keys."""
    listing = target.listing
    return table.Owner(listing.target_id, listing.born, listing.address)
