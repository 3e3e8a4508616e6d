"""Follows the store, across outages and lost history."""

import asyncio
import collections.abc
import random
import typing

from jujubeyard.store import ports

WATCH_SECONDS = 2.5
"""How long a watch waits; bounds how long a silent connection misleads."""

DOUBTFUL_WATCH_SECONDS = 0.5
"""The same after a call without an answer: the store may return unnoticed."""

BATCH_SECONDS = 0.4
"""Pause after changes, so that changes in quick succession share a call."""

PROMPT_BATCH_SECONDS = 0.1
"""The same on the node that acts on the changes."""

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5


class Listener(typing.Protocol):
    """What is told of the store."""

    def take_all(self, items: collections.abc.Sequence[ports.Item]) -> None:
        """Takes a full reading; what is not in it is gone."""

    def take_changes(self, items: collections.abc.Sequence[ports.Item]) -> None:
        """Takes what has changed."""

    def note_outage(self, failure: ports.Failure) -> None:
        """Learns that the store did not answer."""

    def note_answer(self) -> None:
        """Learns that the store answers."""


class Mirror:
    """Reads all items once, then watches for changes.

    Attributes:
        is_prompt: Whether changes are wanted sooner, at the price of calls.
        revision: The store's revision that the listener knows; None before
            the first reading.
    """

    def __init__(self, store: ports.Store, listener: Listener):
        self._store = store
        self._listener = listener
        self._pause = FIRST_PAUSE_SECONDS
        self._in_doubt = False
        self.is_prompt = False
        self.revision: int | None = None

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if self.revision is None:
                await self._read_all()
            else:
                await self._watch_once()

    async def _read_all(self) -> None:
        outcome = await self._store.read_all()
        if outcome.is_err():
            await self._wait_after(outcome.err_value)
            return
        self._note_answer()
        self._listener.take_all(outcome.ok_value.items)
        self.revision = outcome.ok_value.revision

    async def _watch_once(self) -> None:
        seconds = DOUBTFUL_WATCH_SECONDS if self._in_doubt else WATCH_SECONDS
        outcome = await self._store.watch(self.revision, seconds)
        if outcome.is_err():
            if outcome.err_value.kind is ports.FailureKind.COMPACTED:
                self.revision = None
                return
            await self._wait_after(outcome.err_value)
            return
        self._note_answer()
        if outcome.ok_value.items:
            self._listener.take_changes(outcome.ok_value.items)
            pause = PROMPT_BATCH_SECONDS if self.is_prompt else BATCH_SECONDS
            await asyncio.sleep(pause)
        self.revision = max(self.revision, outcome.ok_value.revision)

    def _note_answer(self) -> None:
        self._in_doubt = False
        self._pause = FIRST_PAUSE_SECONDS
        self._listener.note_answer()

    async def _wait_after(self, failure: ports.Failure) -> None:
        self._in_doubt = True
        self._listener.note_outage(failure)
        await asyncio.sleep(self._pause * random.uniform(0.5, 1.0))
        self._pause = min(2 * self._pause, MAX_PAUSE_SECONDS)
