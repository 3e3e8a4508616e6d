"""Follows the items under a key prefix across outages and compaction."""

import asyncio
import collections.abc
import functools
import random
import time
import typing

from jujubeyard.store import health
from jujubeyard.store import hedging
from jujubeyard.store import interface
from jujubeyard.store import revisions

WATCH_SECONDS = 17.0
"""Less than the 20 s of history that the store keeps: a watch that ends without
changes then returns a revision from which the next one can go on."""

SHORT_WATCH_SECONDS = 0.5
"""Duration of a watch after a failure. It is short, because a watch that is
started while the store is unresponsive never gets a reply."""

LOW_LATENCY_WATCH_SECONDS = 2.5
"""Duration of a watch on the leader, on whose data other nodes rely."""

LOW_LATENCY_BATCH_SECONDS = 0.1
"""Pause after changes on the leader, which acts on them."""

REPLY_SECONDS = 0.6
"""Time that the reply to a watch may need on a busy link, if there are changes
already. A younger watch isn't repeated because changes are known elsewhere."""

OVERDUE_SECONDS = 0.6
"""Time after which an answer that the store doesn't hold back is late."""

REPLY_SPREAD_SECONDS = 0.3
"""Time between the first and the last node that begins to receive a change: the
store sends it to all nodes over one link."""

RETRY_SECONDS = 1.0
"""Longest wait for the store to recover before the next attempt."""

RETRY_JITTER_SECONDS = 0.15
READ_FAILED = "store read failed"
WATCH_FAILED = "watch failed"
LARGE_ANSWER_BYTES = 65536
"""Size from which on the transfer of an answer is logged."""


class Listener(typing.Protocol):
    """Receiver of the items that a mirror reads."""

    def apply_snapshot(
        self,
        prefix: str,
        items: collections.abc.Sequence[interface.Item],
        age_seconds: float,
    ) -> None:
        """Replaces all items under a prefix; missing items were removed.

        Args:
            prefix: Prefix of the keys.
            items: All items.
            age_seconds: Time since which items may have changed, in seconds.
        """

    def apply_changes(
        self,
        items: collections.abc.Sequence[interface.Item],
        age_seconds: float,
    ) -> None:
        """Applies updated and removed items.

        Args:
            items: The items.
            age_seconds: Time since which they may have changed, in seconds.
        """


class Journal(typing.Protocol):
    """Log of the mirror."""

    def log_event(self, event: str, **fields) -> None:
        """Logs an event.

        Args:
            event: Text of the event.
            **fields: Fields of the log line.
        """


class Mirror:
    """Reads all items under a prefix, then watches for changes.

    All items are read again if the store has discarded the history that the
    watch needs, or if the changes in it are larger than the items.

    Attributes:
        prefix: Prefix of the followed keys.
        is_low_latency: Whether to deliver changes sooner, with more calls to
            the store.
        revision: Store revision up to which changes were delivered; None
            before the first read and while all items are read again.
        latest_revision: Revision of the latest change under the prefix.
    """

    def __init__(
        self,
        store: interface.Store,
        prefix: str,
        listener: Listener,
        store_health: health.Health,
        batch_seconds: float,
        log: Journal,
    ):
        """Initializes the mirror; `run` starts it.

        Args:
            store: Store to read from.
            prefix: Prefix of the keys to follow.
            listener: Receiver of the items.
            store_health: Availability of the store, shared by its users.
            batch_seconds: Pause after changes, so that changes in quick
                succession share a call.
            log: Log of calls that brought nothing, and of large answers.
        """
        self._log = log
        self._store = store
        self._listener = listener
        self._health = store_health
        self._batch_seconds = batch_seconds
        self._is_next_watch_short = False
        self._behind = asyncio.Event()
        self._current_at = float("-inf")
        self._known_revision = 0
        self.prefix = prefix
        self.is_low_latency = False
        self.revision: int | None = None
        self.latest_revision = 0

    def wake_if_behind(self, revision: int) -> None:
        """Repeats the watch if another node has seen a newer revision.

        If the other node has seen just what this one has, the items were
        current when it said so.

        Args:
            revision: Latest revision under the prefix on the other node.
        """
        self._known_revision = max(self._known_revision, revision)
        if self.revision is None:
            return
        if self.is_behind():
            self._behind.set()
        elif revision >= self.latest_revision:
            self._record_current(time.monotonic())

    def is_behind(self) -> bool:
        """Returns whether items may be newer than those that were delivered.

        That is known from another node, or all items have to be read again.
        """
        return self.revision is None or self.revision < self._known_revision

    async def run(self) -> None:
        """Reads and watches the prefix until cancelled."""
        while True:
            if self.revision is None:
                await self._read_all()
            else:
                await self._watch_once()

    async def _read_all(self) -> None:
        attempt = await hedging.run(
            self._send_read,
            self._wait_until_overdue,
            functools.partial(self._record_failure, READ_FAILED),
        )
        if attempt.outcome.is_err():
            self._log_failure(READ_FAILED, attempt)
            await self._handle_failure(attempt.outcome.err_value)
            return
        self._log_large_answer(attempt)
        self._record_success()
        items = attempt.outcome.ok_value.items
        age = time.monotonic() - self._current_at
        self._current_at = attempt.started_at
        self._listener.apply_snapshot(self.prefix, items, age)
        self.revision = attempt.outcome.ok_value.revision
        self._log.log_event(
            "store read",
            prefix=self.prefix,
            revision=revisions.describe(self.revision),
            latest_before=revisions.describe(self.latest_revision),
            items=len(items),
        )
        self._update_latest_revision(items)

    def _send_read(self, _: bool) -> hedging.Attempt:
        """Sends a call that reads all items."""
        attempt = hedging.Attempt(seconds=0.0)
        attempt.task = asyncio.ensure_future(
            self._store.read_all(self.prefix, attempt.transfer)
        )
        return attempt

    async def _watch_once(self) -> None:
        attempt = await hedging.run(
            self._send_watch,
            self._wait_until_doubtful,
            functools.partial(self._record_failure, WATCH_FAILED),
        )
        if attempt.outcome.is_err():
            self._log_failure(WATCH_FAILED, attempt)
            if attempt.outcome.err_value.kind in hedging.CONCLUSIVE_FAILURES:
                self._record_success()
                self.revision = None
                return
            await self._handle_failure(attempt.outcome.err_value)
            return
        self._log_large_answer(attempt)
        self._record_success()
        items = attempt.outcome.ok_value.items
        self.revision = max(self.revision, attempt.outcome.ok_value.revision)
        age = self._measure_age(attempt.transfer)
        if items:
            self._listener.apply_changes(items, age)
            self._update_latest_revision(items)
            await asyncio.sleep(self._measure_pause(attempt.transfer))

    def _send_watch(self, is_first: bool) -> hedging.Attempt:
        """Sends a call that waits for changes.

        It is short after a failure, or if the answer to another one is late.
        """
        seconds = WATCH_SECONDS
        if self.is_low_latency:
            seconds = LOW_LATENCY_WATCH_SECONDS
        is_usual = is_first and not self._is_next_watch_short
        if not is_usual or not self._health.is_available:
            seconds = SHORT_WATCH_SECONDS
        self._behind.clear()
        attempt = hedging.Attempt(seconds)
        attempt.task = asyncio.ensure_future(
            self._store.watch(
                self.prefix, self.revision, seconds, attempt.transfer
            )
        )
        return attempt

    async def _wait_until_doubtful(self, attempt: hedging.Attempt) -> None:
        """Waits until a watch may never be answered, and logs why.

        A watch that was started while the store was unavailable never gets an
        answer, and is doubtful as soon as the store is available. One that was
        started before is doubtful if the store becomes unavailable, or if
        another node has changes that this one should have. A short one soon
        ends by itself.
        """
        reasons = {self._wait_until_overdue(attempt): "the answer is late"}
        if not self._health.is_available:
            reasons[self._health.wait_available()] = "the store is available"
        elif attempt.seconds > SHORT_WATCH_SECONDS:
            reasons[self._wait_unavailable()] = "the store is unavailable"
            reasons[self._wait_behind()] = "another node knows more"
        detail = await _wait_for_first(reasons)
        if not attempt.transfer.is_arriving:
            self._log_call("watch repeated", attempt, detail)

    async def _wait_until_overdue(self, attempt: hedging.Attempt) -> None:
        """Waits until an answer is late, which counts as a failure.

        After the failure it waits for the store to recover.
        """
        await asyncio.sleep(attempt.seconds + OVERDUE_SECONDS)
        while attempt.transfer.is_arriving:
            await asyncio.sleep(OVERDUE_SECONDS)
        await self._handle_failure(
            interface.Failure(
                interface.FailureKind.UNKNOWN, f"no answer for {self.prefix}"
            )
        )

    async def _wait_unavailable(self) -> None:
        """Waits until the store is unavailable and answers are late."""
        await asyncio.gather(
            self._health.wait_unavailable(), asyncio.sleep(REPLY_SECONDS)
        )

    async def _wait_behind(self) -> None:
        """Waits until another node has changes that this one should have."""
        await asyncio.gather(
            self._wait_known_elsewhere(), asyncio.sleep(REPLY_SECONDS)
        )

    async def _wait_known_elsewhere(self) -> None:
        await self._behind.wait()
        await asyncio.sleep(REPLY_SPREAD_SECONDS)

    def _record_failure(self, event: str, attempt: hedging.Attempt) -> None:
        """Records the failure of an attempt while others are awaited."""
        self._log_failure(event, attempt)
        self._is_next_watch_short = True
        self._health.record_failure(attempt.outcome.err_value)

    def _measure_pause(self, transfer: interface.Transfer) -> float:
        """Returns the pause before the next watch, in seconds.

        Changes that were made while an answer was on its way share the next
        one, so that a long transfer or a long queue needs no further pause.
        """
        pause = self._batch_seconds
        if self.is_low_latency:
            pause = LOW_LATENCY_BATCH_SECONDS
        now = time.monotonic()
        sent_at = self._estimate_sending(transfer.first_byte_at or now)
        return max(0.0, sent_at + pause - now)

    def _measure_age(self, transfer: interface.Transfer) -> float:
        """Returns since when the changes that a watch returned may exist.

        That is since the items were last known to be current. How long the
        answer took says nothing: on a busy link it may be late itself.

        Args:
            transfer: How the answer arrived.
        """
        now = time.monotonic()
        age = now - self._current_at
        self._record_current(transfer.first_byte_at or now)
        return age

    def _record_current(self, received_at: float) -> None:
        """Records that the items were current when something was sent."""
        sent_at = self._estimate_sending(received_at)
        self._current_at = max(self._current_at, sent_at)

    def _estimate_sending(self, received_at: float) -> float:
        """Returns when something was sent at the earliest.

        On a busy link that may be as long ago as a round trip takes.
        """
        return received_at - self._health.round_trip_seconds

    def _log_large_answer(self, attempt: hedging.Attempt) -> None:
        if attempt.transfer.received_bytes > LARGE_ANSWER_BYTES:
            self._log_call("large answer of the store", attempt, "")

    def _log_failure(self, event: str, attempt: hedging.Attempt) -> None:
        self._log_call(event, attempt, attempt.outcome.err_value.detail)

    def _log_call(
        self, event: str, attempt: hedging.Attempt, detail: str
    ) -> None:
        """Logs a call, with how much of its answer arrived in which time."""
        now = time.monotonic()
        first_byte_at = attempt.transfer.first_byte_at or now
        self._log.log_event(
            event,
            prefix=self.prefix,
            after=revisions.describe(self.revision or 0),
            seconds=round(now - attempt.started_at, 3),
            arriving_seconds=round(now - first_byte_at, 3),
            bytes=attempt.transfer.received_bytes,
            detail=detail,
        )

    def _update_latest_revision(
        self, items: collections.abc.Sequence[interface.Item]
    ) -> None:
        newest = max((item.revision for item in items), default=0)
        self.latest_revision = max(self.latest_revision, newest)

    def _record_success(self) -> None:
        self._is_next_watch_short = False
        self._health.record_success()

    async def _handle_failure(self, failure: interface.Failure) -> None:
        """Records a failure and waits until the next attempt.

        The first failure may be one of a connection only, which the next
        attempt shows.
        """
        was_available = self._health.is_available
        self._is_next_watch_short = True
        self._health.record_failure(failure)
        await asyncio.sleep(random.uniform(0.0, RETRY_JITTER_SECONDS))
        if not was_available:
            await self._health.wait_available_for(RETRY_SECONDS)


async def _wait_for_first(
    reasons: dict[collections.abc.Coroutine[None, None, None], str],
) -> str:
    """Waits until one of several coroutines ends, and returns its reason."""
    tasks = {
        asyncio.ensure_future(coroutine): reason
        for coroutine, reason in reasons.items()
    }
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return tasks[done.pop()]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
