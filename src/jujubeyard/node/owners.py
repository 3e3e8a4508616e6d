"""Finds the target that owns the key of a call."""

import time

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import cluster_view
from jujubeyard.node import settings
from jujubeyard.targets import registry

MOVE_WAIT_SECONDS = 0.35
"""How long a call waits for the next owner of its key."""

MOVE_MARK_SECONDS = 0.3
"""How long a target that gave up a shard isn't asked for it again."""

MOVED_RETRY_SECONDS = 0.2
LEAVING_MARGIN = 0.5
"""Part of the bound for which a leaving target still gets keyed calls; the
node may have heard of it late by half as much."""

EVACUATION_MARGIN = 0.6
"""The same for an evacuated zone."""


class Owners:
    """Answers from the tables of owners, and remembers what has moved."""

    def __init__(
        self, known: cluster_view.ClusterView, limits: settings.Limits
    ):
        self._view = known
        self._limits = limits
        self._moved: dict[tuple[str, int], float] = {}

    async def find(self, progress: attempts.Attempts) -> registry.Target | None:
        """Returns the owner of the call's key, waiting shortly for a move."""
        until = min(
            time.monotonic() + MOVE_WAIT_SECONDS,
            progress.deadline - attempts.MIN_LEFT_SECONDS,
        )
        while True:
            target = self._owner(progress)
            if target is not None:
                return target
            left = until - time.monotonic()
            if left <= 0.0:
                progress.latest = codes.ResultCode.NOT_READY
                progress.retry_after = MOVED_RETRY_SECONDS
                return None
            await self._view.wait_for_tables(min(left, MOVE_MARK_SECONDS / 3))

    def mark_moved(self, progress: attempts.Attempts, now: float) -> None:
        """Notes that the owner that a call was sent to has lost its key.

        The table may name the next owner by now; that one isn't marked.
        """
        if progress.is_keyed:
            mark = (progress.service.name, progress.fence)
            self._moved[mark] = now + MOVE_MARK_SECONDS

    def forget(self) -> None:
        """Drops marks that have run out."""
        now = time.monotonic()
        self._moved = {k: t for k, t in self._moved.items() if t > now}

    def _owner(self, progress: attempts.Attempts) -> registry.Target | None:
        service = progress.service.name
        found = self._view.tables.get(service)
        shard = found.find(progress.call.key) if found else None
        if shard is None:
            return None
        now = time.monotonic()
        if self._moved.get((service, shard.fence), 0.0) > now:
            return None
        target = self._view.registry.targets.get(shard.owner.target_id)
        if target is None or target.listing.born != shard.owner.born:
            return None
        if not self._may_still_own(target, now):
            return None
        progress.fence = shard.fence
        return target

    def _may_still_own(self, target: registry.Target, now: float) -> bool:
        """Returns whether a target that is to give up its keys gets calls."""
        limits = self._limits
        evacuated = self._view.registry.evacuated_since.get(target.listing.zone)
        if evacuated is not None:
            if now - evacuated > EVACUATION_MARGIN * limits.evacuation:
                return False
        leaving = target.draining_since or target.removed_at
        if leaving and now - leaving > LEAVING_MARGIN * limits.drain:
            return target.is_usable(now) and not target.draining_since
        return True
