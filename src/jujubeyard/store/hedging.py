"""Sends a call again while the answer to the first one may still arrive.

On a busy link an answer may be queued for longer than the time after which a
silent store has to be asked again. Giving up the first call would mean asking
for the same answer again, at the end of that queue.
"""

import asyncio
import collections.abc
import dataclasses
import time

import result

from jujubeyard.store import interface

MAX_ATTEMPTS = 4
"""Largest number of attempts that wait for an answer at the same time."""

CONCLUSIVE_FAILURES = frozenset(
    {interface.FailureKind.COMPACTED, interface.FailureKind.TOO_LARGE}
)
"""Failures that other attempts at the same call would have as well."""

Outcome = result.Result[interface.ItemBatch, interface.Failure]


@dataclasses.dataclass(slots=True)
class Attempt:
    """A call to the store whose answer is awaited.

    Attributes:
        seconds: How long the store may hold the answer back.
        transfer: How the answer arrives.
        started_at: When it was sent, in monotonic seconds.
        task: Task that returns the outcome.
    """

    seconds: float
    transfer: interface.Transfer = dataclasses.field(
        default_factory=interface.Transfer
    )
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    task: asyncio.Task | None = None

    @property
    def outcome(self) -> Outcome | None:
        """Outcome of the attempt; None while its answer is awaited."""
        return self.task.result() if self.task.done() else None

    def is_conclusive(self) -> bool:
        """Returns whether the outcome makes all other attempts needless."""
        outcome = self.outcome
        return outcome is not None and (
            outcome.is_ok() or outcome.err_value.kind in CONCLUSIVE_FAILURES
        )


async def run(
    send: collections.abc.Callable[[bool], Attempt],
    wait_until_doubtful: collections.abc.Callable[
        [Attempt], collections.abc.Coroutine[None, None, None]
    ],
    on_failure: collections.abc.Callable[[Attempt], None],
) -> Attempt:
    """Sends a call, again if need be, and returns the attempt that decides.

    That is the first one that was answered, or the last one that failed. While
    an answer arrives, the call isn't sent again.

    Args:
        send: Sends the next attempt; is told whether it is the first one.
        wait_until_doubtful: Waits until the given latest attempt may never be
            answered.
        on_failure: Called with an attempt that failed while others are awaited.
    """
    latest = send(True)
    attempts = [latest]
    doubt = asyncio.ensure_future(wait_until_doubtful(latest))
    try:
        while True:
            await _wait_for_any(attempts, doubt)
            for attempt in [each for each in attempts if each.task.done()]:
                if attempt.is_conclusive() or len(attempts) == 1:
                    return attempt
                attempts.remove(attempt)
                on_failure(attempt)
            if doubt.done() and _may_send_another(attempts):
                latest = send(False)
                attempts.append(latest)
                doubt = asyncio.ensure_future(wait_until_doubtful(latest))
    finally:
        await _cancel([doubt, *(attempt.task for attempt in attempts)])


def _may_send_another(attempts: collections.abc.Sequence[Attempt]) -> bool:
    is_arriving = any(attempt.transfer.is_arriving for attempt in attempts)
    return not is_arriving and len(attempts) < MAX_ATTEMPTS


async def _wait_for_any(
    attempts: collections.abc.Sequence[Attempt], doubt: asyncio.Task
) -> None:
    """Waits until an attempt ends, or the doubt about the latest one begins."""
    tasks = [attempt.task for attempt in attempts]
    if not doubt.done():
        tasks.append(doubt)
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


async def _cancel(tasks: collections.abc.Sequence[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
