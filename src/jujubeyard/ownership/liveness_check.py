"""Confirms that an owner's process runs right before it is sent grants.

A grant counts from when its target takes it. A process that is suspended takes
what waits in its sockets once it is resumed, however long ago that was sent.
"""

import asyncio
import collections.abc

from jujubeyard import clock
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests

MAX_REPLY_AGE_SECONDS = 0.02
"""How long after an owner has replied its process still counts as running."""

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
        self._replied_at: dict[table.Owner, float] = {}
        self._tasks: dict[table.Owner, asyncio.Task] = {}

    def record_reply(self, owner: table.Owner) -> None:
        """Records that an owner has just replied."""
        self._replied_at[owner] = clock.boottime()

    async def confirm(self, owner: table.Owner) -> bool:
        """Returns whether an owner replies, or has done so just now."""
        replied_at = self._replied_at.get(owner, float("-inf"))
        if clock.boottime() - replied_at <= MAX_REPLY_AGE_SECONDS:
            return True
        task = self._tasks.get(owner)
        if task is None or task.done():
            task = self._start_task(self._run(owner))
            self._tasks[owner] = task
        await asyncio.wait([task])
        return task.result()

    async def _run(self, owner: table.Owner) -> bool:
        is_running = await self._check(owner)
        if is_running:
            self.record_reply(owner)
        return is_running


def is_from_owner(result: target_requests.Result) -> bool:
    """Returns whether a result shows that the owner's process replied."""
    is_gone = result.outcome is target_requests.Outcome.GONE
    return result.reply is not None and not is_gone


def make_check(
    owner: table.Owner, shards: collections.abc.Iterable[table.Shard]
) -> target_requests.ReleaseRequest | None:
    """Returns a release that changes nothing at an owner.

    It is for keys that another target owns.

    Args:
        owner: The owner to check.
        shards: Shards of which none is being moved.

    Returns:
        The release; None if no other target has keys, so that the owner can't
        take any from one.
    """
    for shard in shards:
        if shard.owner.target_id != owner.target_id:
            return target_requests.ReleaseRequest(
                owner, shard.first, shard.last, CHECK_FENCE
            )
    return None
