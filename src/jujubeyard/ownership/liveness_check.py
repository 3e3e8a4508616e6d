"""Confirms that an owner's process runs right before it is sent grants.

A grant counts from when its target takes it. A process that is suspended takes
what waits in its sockets once it is resumed, however long ago that was sent.
"""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests

MAX_REPLY_AGE_SECONDS = 0.05
"""How long after a request was sent its reply shows that a process runs."""

MAX_CHECKS = 3
"""Number of checks after which a late reply does. They are late for all owners
while the event loop is busy."""

CHECK_FENCE = 1
"""Fence of a release that checks an owner; below those of all grants, so that
it keeps no grant out."""

Check = collections.abc.Callable[
    [table.Owner], collections.abc.Coroutine[None, None, bool]
]
StartTask = collections.abc.Callable[[collections.abc.Coroutine], asyncio.Task]


class LivenessCheck:
    """Checks owners, once for all grants that wait for it."""

    def __init__(self, check: Check, start_task: StartTask):
        """Initializes a check of owners that haven't replied yet.

        Args:
            check: Returns whether an owner replies to a request.
            start_task: Runs a coroutine as a task.
        """
        self._check = check
        self._start_task = start_task
        self._answered_since: dict[table.Owner, float] = {}
        self._tasks: dict[table.Owner, asyncio.Task] = {}

    def record_answered(self, owner: table.Owner, sent_at: float) -> None:
        """Records that an owner has replied to a request.

        Args:
            owner: The owner.
            sent_at: When the request was sent, in boot time.
        """
        self._answered_since[owner] = sent_at

    async def confirm(self, owner: table.Owner) -> bool:
        """Returns whether an owner replies, or has done so just now."""
        for _ in range(MAX_CHECKS):
            if self._has_just_replied(owner):
                return True
            if not await self._run_shared(owner):
                return False
        return True

    def _has_just_replied(self, owner: table.Owner) -> bool:
        sent_at = self._answered_since.get(owner, float("-inf"))
        return clock.boottime() - sent_at <= MAX_REPLY_AGE_SECONDS

    async def _run_shared(self, owner: table.Owner) -> bool:
        """Runs a check, or waits for the one in progress."""
        task = self._tasks.get(owner)
        if task is None or task.done():
            task = self._start_task(self._run(owner))
            self._tasks[owner] = task
        await asyncio.wait([task])
        return task.result()

    async def _run(self, owner: table.Owner) -> bool:
        sent_at = clock.boottime()
        has_replied = await self._check(owner)
        if has_replied:
            self.record_answered(owner, sent_at)
        return has_replied


def is_from_owner(result: target_requests.Result) -> bool:
    """Returns whether a result shows that the owner's process replied."""
    is_gone = result.outcome is target_requests.Outcome.GONE
    return result.reply is not None and not is_gone


def make_check(
    owner: table.Owner, shards: collections.abc.Iterable[table.Shard]
) -> target_requests.ReleaseRequest | None:
    """Returns a release that changes nothing at an owner.

    It is for the keys that another target has owned for the longest time, since
    a release waits for calls that run on its keys.

    Args:
        owner: The owner to check.
        shards: Shards of which none is being moved.

    Returns:
        The release, or None if no other target has keys.
    """
    others = [
        shard for shard in shards if shard.owner.target_id != owner.target_id
    ]
    if not others:
        return None
    shard = min(others, key=lambda other: other.fence)
    return target_requests.ReleaseRequest(
        owner, shard.first, shard.last, CHECK_FENCE
    )
