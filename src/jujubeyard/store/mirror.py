"""Follows the items below a prefix, across outages and lost history."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from jujubeyard.store import health
from jujubeyard.store import interface

WATCH_SECONDS = 20.0
DOUBTFUL_WATCH_SECONDS = 0.5
"""How long a watch waits after a failure: one that is begun while the store
is silent is never answered."""

PROMPT_WATCH_SECONDS = 2.5
"""How long a watch waits on the node whose word others rely on."""

PROMPT_BATCH_SECONDS = 0.1
"""Pause after changes on the node that acts on them."""

RETRY_SECONDS = 1.0
"""Longest wait for the store to be regained before it is asked again."""

RETRY_JITTER_SECONDS = 0.15


class Listener(typing.Protocol):
    """What is told of the store."""

    def apply_snapshot(
        self, prefix: str, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        """Takes all items below a prefix; what is not in it is gone."""

    def apply_changes(
        self, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        """Takes what has changed."""


class Mirror:
    """Reads all items below a prefix once, then watches for changes.

    Attributes:
        prefix: The prefix.
        is_prompt: Whether changes are wanted sooner, at the price of calls.
        revision: The store's revision that the listener knows; None before
            the first reading.
        latest: Revision of the latest change below the prefix.
    """

    def __init__(
        self,
        store: interface.Store,
        prefix: str,
        listener: Listener,
        known_health: health.Health,
        batch_seconds: float,
    ):
        """Makes a mirror.

        Args:
            store: The store.
            prefix: Prefix of the items to follow.
            listener: Told of them.
            known_health: Whether the store answers.
            batch_seconds: Pause after changes, so that changes in quick
                succession share a call.
        """
        self._store = store
        self._listener = listener
        self._health = known_health
        self._batch_seconds = batch_seconds
        self._in_doubt = False
        self._behind = asyncio.Event()
        self.prefix = prefix
        self.is_low_latency = False
        self.revision: int | None = None
        self.latest_revision = 0

    def wake_if_behind(self, revision: int) -> None:
        """Learns from another node that an item changed at a revision."""
        if self.revision is not None and self.revision < revision:
            self._behind.set()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if self.revision is None:
                await self._read_all()
            else:
                await self._watch_once()

    async def _read_all(self) -> None:
        outcome = await self._store.read_all(self.prefix)
        if outcome.is_err():
            await self._wait_after(outcome.err_value)
            return
        self._note_answer()
        items = outcome.ok_value.items
        self._listener.apply_snapshot(self.prefix, items)
        self.revision = outcome.ok_value.revision
        self._note_items(items)

    async def _watch_once(self) -> None:
        outcome = await self._watch()
        if outcome is None:
            self._in_doubt = True
            return
        if outcome.is_err():
            if outcome.err_value.kind is interface.FailureKind.COMPACTED:
                self.revision = None
                return
            await self._wait_after(outcome.err_value)
            return
        self._note_answer()
        items = outcome.ok_value.items
        self.revision = max(self.revision, outcome.ok_value.revision)
        if items:
            self._listener.apply_changes(items)
            self._note_items(items)
            pause = PROMPT_BATCH_SECONDS
            await asyncio.sleep(
                pause if self.is_low_latency else self._batch_seconds
            )

    async def _watch(self):
        """Returns a watch's outcome; None if it is not to be relied on."""
        seconds = WATCH_SECONDS
        if self._in_doubt or not self._health.answers:
            seconds = DOUBTFUL_WATCH_SECONDS
        elif self.is_low_latency:
            seconds = PROMPT_WATCH_SECONDS
        self._behind.clear()
        watching = asyncio.ensure_future(
            self._store.watch(self.prefix, self.revision, seconds)
        )
        change = self._health.wait_lost
        if not self._health.answers:
            change = self._health.wait_answer
        elif self._in_doubt:
            return await watching
        signs = [
            asyncio.ensure_future(change()),
            asyncio.ensure_future(self._behind.wait()),
        ]
        waiting = [watching, *signs]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            return watching.result() if watching.done() else None
        finally:
            for task in waiting:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*waiting, return_exceptions=True)

    def _note_items(
        self, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        newest = max((item.revision for item in items), default=0)
        self.latest_revision = max(self.latest_revision, newest)

    def _note_answer(self) -> None:
        self._in_doubt = False
        self._health.record_success()

    async def _wait_after(self, failure: interface.Failure) -> None:
        self._in_doubt = True
        self._health.record_failure(failure)
        await asyncio.sleep(random.uniform(0.0, RETRY_JITTER_SECONDS))
        await self._health.wait_regained(RETRY_SECONDS)
