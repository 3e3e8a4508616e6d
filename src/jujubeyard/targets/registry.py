"""Targets as the platform lists them."""

import dataclasses

from jujubeyard.targets import loads

RETURN_SECONDS = 2.0
"""Entries that lapsed in an outage are back so soon after the store is."""

LAPSE_GRACE_SECONDS = 1.2
"""Longest use of a target that isn't listed; less than a drain may last."""

FORGET_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """What a target says of itself.

    Attributes:
        target_id: Its name.
        service: Its service.
        address: "IP:PORT" at which it takes calls.
        zone: Its availability zone.
        slots: Calls that it runs at once.
        draining: Whether it is about to leave.
        cold_seconds: How much longer it stays cold.
        born: Unix millisecond of its start; 0 if it doesn't say.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_seconds: float
    born: int


@dataclasses.dataclass(slots=True)
class Target:
    """A target and a node's view of it.

    Attributes:
        listing: The latest that the platform listed.
        listed_at: When the target was first listed, in monotonic seconds.
        cold_until: Until when it is cold, in monotonic seconds.
        gone_at: When it was no longer listed; 0.0 while it is.
        usable_until: Until when a target that isn't listed may be used.
        draining_since: When it was seen draining; 0.0 if it wasn't.
        load: Its load.
    """

    listing: Listing
    listed_at: float
    cold_until: float = 0.0
    removed_at: float = 0.0
    usable_until: float = 0.0
    draining_since: float = 0.0
    load: loads.TargetLoad = dataclasses.field(default_factory=loads.TargetLoad)

    def is_cold(self, now: float) -> bool:
        """Returns whether the target is cold."""
        return now < self.cold_until

    def is_listed(self, now: float) -> bool:
        """Returns whether it is listed, or only lapsed in an outage."""
        return not self.removed_at or now < self.usable_until


class Registry:
    """All targets by name.

    Attributes:
        targets: The targets.
        evacuated: When each evacuated zone was seen so, in monotonic seconds.
        version: Grows with each change.
    """

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.evacuated_since: dict[str, float] = {}
        self.version = 0
        self._work: dict[str, loads.DecayingMean] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._indexed_version = -1
        self._returned_at = float("-inf")

    def note_return(self, now: float) -> None:
        """Notes that the store answers after an outage."""
        self._returned_at = now

    def put(self, listing: Listing, now: float) -> bool:
        """Takes a listing; returns whether it is another life of a target."""
        self.version += 1
        found = self.targets.get(listing.target_id)
        reborn = found is not None and found.listing.born != listing.born
        if found is None or reborn:
            load = loads.TargetLoad(service_work=self._work_of(listing.service))
            found = Target(listing, now, load=load)
            self.targets[listing.target_id] = found
        found.listing = listing
        found.removed_at = 0.0
        found.cold_until = now + listing.cold_seconds
        if not listing.draining:
            found.draining_since = 0.0
        elif not found.draining_since:
            found.draining_since = now
        return reborn

    def _work_of(self, service: str) -> loads.DecayingMean:
        found = self._work.get(service)
        if found is None:
            found = self._work[service] = loads.make_service_mean()
        return found

    def remove(self, target_id: str, now: float) -> None:
        """Notes that a target is no longer listed."""
        found = self.targets.get(target_id)
        if found is None or found.removed_at:
            return
        self.version += 1
        found.removed_at = now
        found.usable_until = min(
            now + LAPSE_GRACE_SECONDS,
            max(now, self._returned_at + RETURN_SECONDS),
        )

    def keep_only(self, target_ids: set[str], now: float) -> None:
        """Removes all targets but those named."""
        for target_id in self.targets.keys() - target_ids:
            self.remove(target_id, now)

    def set_evacuated(self, zone: str, evacuated: bool, now: float) -> None:
        """Notes that a zone's targets are to get nothing, or calls again."""
        self.version += 1
        if evacuated:
            self.evacuated_since.setdefault(zone, now)
        else:
            self.evacuated_since.pop(zone, None)

    def purge_removed(self, now: float) -> list[str]:
        """Drops targets that left long ago; returns their names."""
        old = [
            target_id
            for target_id, target in self.targets.items()
            if target.removed_at and now - target.removed_at > FORGET_SECONDS
        ]
        for target_id in old:
            del self.targets[target_id]
        if old:
            self.version += 1
        return old

    def service_targets(self, service: str) -> list[Target]:
        """Returns all targets of a service, also those that have left."""
        if self._indexed_version != self.version:
            self._by_service = {}
            for target in self.targets.values():
                name = target.listing.service
                self._by_service.setdefault(name, []).append(target)
            self._indexed_version = self.version
        return self._by_service.get(service, [])

    def is_available(self, target: Target, now: float) -> bool:
        """Returns whether new work may be given to a target."""
        return (
            not target.draining_since
            and target.listing.zone not in self.evacuated_since
            and target.is_listed(now)
        )
