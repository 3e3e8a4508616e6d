"""The targets that the platform lists."""

import dataclasses

from jujubeyard.scheduling import capacity
from jujubeyard.scheduling import means
from jujubeyard.scheduling import queue_limits
from jujubeyard.targets import loads
from jujubeyard.targets import notices

RELIST_SECONDS = 2.0
"""Time from the end of a store outage until targets whose listings expired
during the outage are listed again."""

MIN_OUTAGE_SECONDS = 1.5
"""Shortest outage in which listings are taken to have expired. If only this
node's calls to the store were late for a moment, those of targets were not."""

UNLISTED_GRACE_SECONDS = 1.2
"""Longest time for which an unlisted target is used; less than a drain may
take."""

RETENTION_SECONDS = 60.0
"""Time for which a removed target is remembered."""

LEAVING_RETENTION_SECONDS = 3600.0
"""That time for one that said that it is leaving. Its listing may return after
an outage of the store, with another state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The data that a target publishes about itself in the store.

    Attributes:
        target_id: Name of the target.
        service: Name of its service.
        address: "IP:PORT" at which it accepts calls.
        zone: Its availability zone.
        slots: Number of calls that it can run at once.
        draining: Whether it is about to shut down.
        cold_seconds: Time for which it stays cold from now on.
        born: Start of its current incarnation, in Unix milliseconds.
        seq: Number that grows with each of its reports in one incarnation.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_seconds: float
    born: int
    seq: int = 0


@dataclasses.dataclass(slots=True)
class Target:
    """The state of a target on this node.

    All times are in monotonic seconds.

    Attributes:
        listing: Latest listing of the target.
        listed_at: When this incarnation of the target was first listed.
        cold_until: When the target stops being cold.
        removed_at: When its listing may have been removed; 0.0 while it is
            listed.
        usable_until: Time until which it may be used while it isn't listed.
        draining_since: When it may have begun to drain; 0.0 if it isn't
            draining.
        leaving_since: When it first said itself that it is leaving; 0.0 if it
            didn't. Only another incarnation takes that back.
        load: Estimated load of the target.
    """

    listing: Listing
    listed_at: float
    cold_until: float = 0.0
    removed_at: float = 0.0
    usable_until: float = 0.0
    draining_since: float = 0.0
    leaving_since: float = 0.0
    load: loads.TargetLoad = dataclasses.field(default_factory=loads.TargetLoad)

    def is_cold(self, now: float) -> bool:
        """Returns whether the target is cold."""
        return now < self.cold_until

    def observe_cold(self, seconds: float, now: float) -> None:
        """Records that the target said how long it stays cold."""
        self.cold_until = max(self.cold_until, now + seconds)

    def observe_notice(self, notice: notices.Notice, now: float) -> bool:
        """Records what the target announces about itself.

        Args:
            notice: The announcement.
            now: Monotonic time, in seconds.

        Returns:
            Whether the target said for the first time that it is leaving.
        """
        self.load.pause(notice.pause_seconds, now)
        if not notice.is_leaving or self.leaving_since:
            return False
        self.leaving_since = now
        return True

    def is_usable(self, now: float) -> bool:
        """Returns whether the target is listed or within the grace period."""
        return not self.removed_at or now < self.usable_until


class Registry:
    """All targets that are listed or were removed recently.

    Attributes:
        targets: Targets by name.
        evacuated_since: For each evacuated zone, when its evacuation may have
            begun, in monotonic seconds.
        version: Number that increases with each change.
        queue_limits: For each service, how many calls can wait at a target.
    """

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.evacuated_since: dict[str, float] = {}
        self.version = 0
        self.queue_limits: dict[str, queue_limits.QueueLimit] = {}
        self._service_means: dict[str, means.DecayingMean] = {}
        self._usual_others: dict[str, means.DecayingMean] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._indexed_version = -1
        self._store_recovered_at = float("-inf")

    def record_store_recovery(self, now: float, outage_seconds: float) -> None:
        """Records that the store is reachable again after an outage.

        Args:
            now: End of the outage.
            outage_seconds: How long the store was unreachable.
        """
        if outage_seconds >= MIN_OUTAGE_SECONDS:
            self._store_recovered_at = now

    def put(
        self, listing: Listing, now: float, changed_at: float | None = None
    ) -> bool:
        """Adds or updates a target.

        Args:
            listing: Its listing.
            now: Time at which the node learned of it.
            changed_at: When it may have changed first; None for now.

        Returns:
            Whether the listing belongs to a new incarnation of a target that
            was already in the registry.
        """
        self.version += 1
        target = self.targets.get(listing.target_id)
        is_new_incarnation = (
            target is not None and target.listing.born != listing.born
        )
        if target is None or is_new_incarnation:
            load = loads.TargetLoad(
                service_work=self._service_mean(listing.service),
                room=capacity.Capacity(
                    listing.target_id, self.queue_limit(listing.service)
                ),
                usual_others=self._usual_others_mean(listing.service),
            )
            target = Target(listing, now, load=load)
            self.targets[listing.target_id] = target
        target.listing = listing
        target.load.room.listed_slots = listing.slots
        target.removed_at = 0.0
        target.cold_until = now + listing.cold_seconds
        if not listing.draining:
            target.draining_since = 0.0
        elif not target.draining_since:
            target.draining_since = now if changed_at is None else changed_at
        return is_new_incarnation

    def _service_mean(self, service: str) -> means.DecayingMean:
        mean = self._service_means.get(service)
        if mean is None:
            mean = self._service_means[service] = loads.make_service_mean()
        return mean

    def queue_limit(self, service: str) -> queue_limits.QueueLimit:
        """Returns what is known of the queues of a service's targets."""
        return self.queue_limits.setdefault(service, queue_limits.QueueLimit())

    def _usual_others_mean(self, service: str) -> means.DecayingMean:
        mean = self._usual_others.get(service)
        if mean is None:
            mean = self._usual_others[service] = loads.make_usual_others()
        return mean

    def remove(
        self, target_id: str, now: float, changed_at: float | None = None
    ) -> None:
        """Marks a target as no longer listed.

        If the store was unreachable until recently, the listing may have
        expired only because of the outage. The target then stays usable for
        a short time.

        Args:
            target_id: Name of the target.
            now: Time at which the node learned of it.
            changed_at: When it may have been removed; None for now.
        """
        target = self.targets.get(target_id)
        if target is None or target.removed_at:
            return
        self.version += 1
        target.removed_at = now if changed_at is None else changed_at
        target.usable_until = min(
            now + UNLISTED_GRACE_SECONDS,
            max(now, self._store_recovered_at + RELIST_SECONDS),
        )

    def keep_only(
        self,
        target_ids: set[str],
        now: float,
        changed_at: float | None = None,
    ) -> None:
        """Marks all targets except the given ones as no longer listed.

        Args:
            target_ids: Names of the targets that are listed.
            now: Time at which the node learned of it.
            changed_at: When the others may have been removed; None for now.
        """
        for target_id in self.targets.keys() - target_ids:
            self.remove(target_id, now, changed_at)

    def set_evacuated(
        self, zone: str, evacuated: bool, changed_at: float
    ) -> None:
        """Sets whether the targets of a zone must not get new calls.

        Args:
            zone: Name of the zone.
            evacuated: Whether it is evacuated.
            changed_at: When its evacuation may have begun or ended.
        """
        self.version += 1
        if evacuated:
            self.evacuated_since.setdefault(zone, changed_at)
        else:
            self.evacuated_since.pop(zone, None)

    def purge_removed(self, now: float) -> list[str]:
        """Drops targets that were removed long ago; returns their names."""
        expired = [
            target_id
            for target_id, target in self.targets.items()
            if target.removed_at
            and now - target.removed_at > _retention_seconds(target)
        ]
        for target_id in expired:
            del self.targets[target_id]
        if expired:
            self.version += 1
        return expired

    def service_targets(self, service: str) -> list[Target]:
        """Returns all targets of a service, including removed ones."""
        if self._indexed_version != self.version:
            self._by_service = {}
            for target in self.targets.values():
                name = target.listing.service
                self._by_service.setdefault(name, []).append(target)
            self._indexed_version = self.version
        return self._by_service.get(service, [])

    def is_available(self, target: Target, now: float) -> bool:
        """Returns whether a target may be given new work."""
        return (
            not target.draining_since
            and not target.leaving_since
            and target.listing.zone not in self.evacuated_since
            and target.is_usable(now)
        )


def _retention_seconds(target: Target) -> float:
    """Returns how long a target is remembered once it was removed."""
    if target.leaving_since:
        return LEAVING_RETENTION_SECONDS
    return RETENTION_SECONDS
