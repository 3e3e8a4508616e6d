"""Lookup of the target that owns the key of a call."""

import time

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import cluster_view
from jujubeyard.node import settings
from jujubeyard.targets import registry

MOVE_WAIT_SECONDS = 0.35
"""How long a call waits until its key has an owner."""

MOVED_MARK_SECONDS = 0.3
"""How long a target that lost a shard receives no more calls for it, unless
the shard is granted again."""

MOVED_RETRY_SECONDS = 0.2
DRAIN_CALL_FRACTION = 0.6
"""Fraction of the drain limit during which a draining or removed target still
receives keyed calls."""

EVACUATION_CALL_FRACTION = 0.6
"""Fraction of the evacuation limit during which the targets of an evacuated
zone still receive keyed calls."""


class OwnerLookup:
    """Finds owners in the shard tables, and remembers which shards moved."""

    def __init__(self, view: cluster_view.ClusterView, limits: settings.Limits):
        self._view = view
        self._limits = limits
        self._marked_until: dict[tuple[str, int], float] = {}

    async def find_owner(
        self, state: attempts.CallState
    ) -> registry.Target | None:
        """Returns the owner of a call's key.

        Waits up to MOVE_WAIT_SECONDS while the key has no owner, as during a
        handover.

        Args:
            state: The call; its fence is set to that of the owner's grant, or
                its latest code to NOT_READY if there is no owner.

        Returns:
            The owner, or None if the key has none in time.
        """
        until = min(
            time.monotonic() + MOVE_WAIT_SECONDS,
            state.deadline - attempts.MIN_REMAINING_SECONDS,
        )
        while True:
            target = self._current_owner(state)
            if target is not None:
                return target
            remaining = until - time.monotonic()
            if remaining <= 0.0:
                state.latest_code = codes.ResultCode.NOT_READY
                state.retry_after = MOVED_RETRY_SECONDS
                return None
            await self._view.wait_for_tables(
                min(remaining, MOVED_MARK_SECONDS / 3)
            )

    def current_owner_id(self, state: attempts.CallState) -> str:
        """Returns the owner of a call's key; empty if it has none now."""
        target = self._current_owner(state)
        return target.listing.target_id if target is not None else ""

    def mark_moved(self, state: attempts.CallState, now: float) -> None:
        """Records that the owner that a call was sent to has lost its shard.

        The mark applies to the fence of the grant that the call was sent
        under: the table may already name the next owner, whose grant has
        another fence and stays usable.
        """
        if state.is_keyed:
            grant = (state.service.name, state.fence)
            self._marked_until[grant] = now + MOVED_MARK_SECONDS

    def remove_expired_marks(self) -> None:
        """Removes the marks of moved shards that have expired."""
        now = time.monotonic()
        self._marked_until = {
            grant: until
            for grant, until in self._marked_until.items()
            if until > now
        }

    def _current_owner(
        self, state: attempts.CallState
    ) -> registry.Target | None:
        service = state.service.name
        shard_table = self._view.tables.get(service)
        shard = shard_table.find(state.call.key) if shard_table else None
        if shard is None:
            return None
        now = time.monotonic()
        if self._marked_until.get((service, shard.fence), 0.0) > now:
            return None
        target = self._view.registry.targets.get(shard.owner.target_id)
        if target is None or target.listing.born != shard.owner.born:
            return None
        if not self._may_still_own(target, now):
            return None
        state.fence = shard.fence
        return target

    def _may_still_own(self, target: registry.Target, now: float) -> bool:
        """Returns whether a target may receive calls for the keys it owns.

        A target that is draining, was removed, said that it is leaving or is
        in an evacuated zone receives them for only a fraction of the drain or
        evacuation limit.
        """
        limits = self._limits
        drain_seconds = DRAIN_CALL_FRACTION * limits.drain
        if target.leaving_since and now - target.leaving_since > drain_seconds:
            return False
        evacuated_at = self._view.registry.evacuated_since.get(
            target.listing.zone
        )
        if evacuated_at is not None:
            if (
                now - evacuated_at
                > EVACUATION_CALL_FRACTION * limits.evacuation
            ):
                return False
        unavailable_since = target.draining_since or target.removed_at
        if unavailable_since and now - unavailable_since > drain_seconds:
            return target.is_usable(now) and not target.draining_since
        return True
