"""What the keeper of keys asks of the node that it runs on."""

import time

from jujubeyard import clock
from jujubeyard.node import cluster_view
from jujubeyard.ownership import demand
from jujubeyard.ownership import orders
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.targets import registry

MIN_WARM_SHARE = 0.5
"""Share of warm targets below which cold ones are given keys as well."""

MIN_SAMPLES = 60.0
"""Weighted calls below which loads are not known."""

PRIOR_SAMPLES = 3.0
"""Calls of mean time that count beside those that were seen of a target."""


class PlacementInputs:
    """Answers from the node's view and from what nodes report."""

    def __init__(self, known: cluster_view.ClusterView):
        self._view = known
        self._books: dict[str, demand.Book] = {}

    def handle_report(self, report: demand.Report) -> None:
        """Takes what a node saw."""
        book = self._books.setdefault(report.service, demand.Book())
        book.add(report, time.monotonic())

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""
        now = time.monotonic()
        found = [
            target
            for target in self._view.registry.service_targets(service)
            if self._view.registry.is_available(target, now)
        ]
        warm = [target for target in found if not target.is_cold(now)]
        if len(warm) < MIN_WARM_SHARE * len(found):
            warm = found
        return [
            planner.Candidate(
                owner_of(target),
                self._capacity(service, target),
                target.listing.slots,
            )
            for target in warm
        ]

    def joined_at(self, service: str) -> float:
        """Returns when the latest target joined, in boot time."""
        listed = [
            target.listed_at
            for target in self._view.registry.service_targets(service)
        ]
        offset = clock.boottime() - time.monotonic()
        return max(listed, default=time.monotonic()) + offset

    def is_ended(self, owner: table.Owner) -> bool:
        """Returns whether that life of the target has certainly ended."""
        target = self._view.registry.targets.get(owner.target_id)
        return target is not None and target.listing.born != owner.born

    def shard_rates(self, found: table.ShardTable) -> list[float]:
        """Returns the calls per second for each shard."""
        book = self._books.get(found.service)
        if book is None:
            return [0.0] * len(found.shards)
        return book.shard_rates(found.shards, time.monotonic())

    def bucket_calls(self, service: str) -> list[float]:
        """Returns the calls by bucket of keys, weighted by age."""
        book = self._books.get(service)
        return book.calls if book else [0.0] * demand.BUCKETS

    def observe_reply(self, owner: table.Owner, reply: orders.Reply) -> None:
        """Takes what a reply to an order shows of a target."""
        target = self._view.registry.targets.get(owner.target_id)
        if target is not None and reply.report is not None:
            target.load.observe_report(reply.report, time.monotonic())

    def may_balance(self, service: str) -> bool:
        """Returns whether loads are known well enough to move shards."""
        book = self._books.get(service)
        return book is not None and book.samples >= MIN_SAMPLES

    def _capacity(self, service: str, target: registry.Target) -> float:
        """Returns the calls that a target can serve in a second."""
        slots = float(target.listing.slots)
        book = self._books.get(service)
        mean = book.mean_work_seconds() if book else 0.0
        if not mean:
            return slots
        count, seconds = book.work_seconds(target.listing.target_id)
        total = count * seconds + PRIOR_SAMPLES * mean
        return slots * (count + PRIOR_SAMPLES) / total


def owner_of(target: registry.Target) -> table.Owner:
    """Returns the present life of a target."""
    listing = target.listing
    return table.Owner(listing.target_id, listing.born, listing.address)
