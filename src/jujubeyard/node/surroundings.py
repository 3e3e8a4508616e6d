"""What the keeper of keys asks of the node that it runs on."""

import time

from jujubeyard import clock
from jujubeyard.node import view
from jujubeyard.ownership import orders
from jujubeyard.ownership import planner
from jujubeyard.ownership import table
from jujubeyard.targets import registry

MIN_WARM_SHARE = 0.5
"""Share of warm targets below which cold ones are given keys as well."""

MIN_SPEED = 0.4
MAX_SPEED = 2.0


class Surroundings:
    """Answers from the node's view."""

    def __init__(self, known: view.View):
        self._view = known

    def candidates(self, service: str) -> list[planner.Candidate]:
        """Returns the targets that may own keys."""
        now = time.monotonic()
        found = [
            target
            for target in self._view.registry.of_service(service)
            if self._view.registry.is_open(target, now)
        ]
        warm = [target for target in found if not target.is_cold(now)]
        if len(warm) < MIN_WARM_SHARE * len(found):
            warm = found
        return [
            planner.Candidate(owner_of(target), self._capacity(target))
            for target in warm
        ]

    def joined_at(self, service: str) -> float:
        """Returns when the latest target joined, in boot time."""
        listed = [
            target.listed_at
            for target in self._view.registry.of_service(service)
        ]
        offset = clock.boottime() - time.monotonic()
        return max(listed, default=time.monotonic()) + offset

    def is_ended(self, owner: table.Owner) -> bool:
        """Returns whether that life of the target has certainly ended."""
        target = self._view.registry.targets.get(owner.target_id)
        return target is not None and target.listing.born != owner.born

    def shard_loads(self, found: table.ShardTable) -> list[float]:
        """Returns the estimated load of each shard."""
        return [1.0] * len(found.shards)

    def observe_reply(self, owner: table.Owner, reply: orders.Reply) -> None:
        """Takes what a reply to an order shows of a target."""
        target = self._view.registry.targets.get(owner.target_id)
        if target is not None and reply.report is not None:
            target.load.observe_report(reply.report, time.monotonic())

    def may_balance(self, service: str) -> bool:
        """Returns whether loads are known well enough to move shards."""
        del service
        return True

    def _capacity(self, target: registry.Target) -> float:
        return float(target.listing.slots)


def owner_of(target: registry.Target) -> table.Owner:
    """Returns the present life of a target."""
    listing = target.listing
    return table.Owner(listing.target_id, listing.born, listing.address)
