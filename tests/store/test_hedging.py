"""Tests of calls that are sent again while their answers may still arrive."""

import asyncio

import pytest
import result

from jujubeyard.store import hedging
from jujubeyard.store import interface

DOUBT_SECONDS = 0.02
CHANGED = result.Ok(interface.ItemBatch((), 12))
FAILED = result.Err(interface.Failure(interface.FailureKind.UNKNOWN, ""))
COMPACTED = result.Err(interface.Failure(interface.FailureKind.COMPACTED, ""))
SILENCE_SECONDS = 10.0


class Sender:
    """Sends attempts whose outcomes come after scripted times."""

    def __init__(self, *script, arriving_seconds=0.0):
        self._script = list(script)
        self._arriving_seconds = arriving_seconds
        self.attempts = []
        self.first_flags = []
        self.failed = []

    def send(self, is_first):
        self.first_flags.append(is_first)
        attempt = hedging.Attempt(seconds=0.0)
        step = (SILENCE_SECONDS, FAILED)
        if len(self.attempts) < len(self._script):
            step = self._script[len(self.attempts)]
        attempt.task = asyncio.ensure_future(self._answer(attempt, *step))
        self.attempts.append(attempt)
        return attempt

    async def _answer(self, attempt, seconds, outcome):
        await asyncio.sleep(max(0.0, seconds - self._arriving_seconds))
        if self._arriving_seconds:
            attempt.transfer.record_chunk(1, 0.0)
            await asyncio.sleep(self._arriving_seconds)
        return outcome


async def _wait_until_doubtful(_):
    await asyncio.sleep(DOUBT_SECONDS)


@pytest.mark.parametrize(
    ("script", "arriving_seconds", "decides", "sent", "failed"),
    [
        pytest.param([(0.0, CHANGED)], 0.0, 0, 1, 0, id="answered at once"),
        pytest.param([(0.0, FAILED)], 0.0, 0, 1, 0, id="failed at once"),
        pytest.param([(0.03, CHANGED)], 0.0, 0, 2, 0, id="first one is late"),
        pytest.param(
            [(0.05, CHANGED)], 0.04, 0, 1, 0, id="not sent while arriving"
        ),
        pytest.param(
            [(9.0, CHANGED), (0.0, CHANGED)], 0.0, 1, 2, 0, id="second answers"
        ),
        pytest.param(
            [(0.05, CHANGED), (0.0, FAILED)], 0.0, 0, 3, 1, id="second fails"
        ),
        pytest.param(
            [(0.05, CHANGED), (0.0, COMPACTED)], 0.0, 1, 2, 0, id="compacted"
        ),
        pytest.param(
            [(0.03, FAILED), (0.02, FAILED)], 0.0, 1, 2, 1, id="all fail"
        ),
        pytest.param([(0.2, CHANGED)], 0.0, 0, 4, 0, id="bounded"),
    ],
)
async def test_call_is_decided_by_its_first_answer(
    script, arriving_seconds, decides, sent, failed
):
    sender = Sender(*script, arriving_seconds=arriving_seconds)
    attempt = await hedging.run(
        sender.send, _wait_until_doubtful, sender.failed.append
    )
    assert attempt is sender.attempts[decides]
    assert sender.first_flags == [True, *[False] * (sent - 1)]
    assert len(sender.failed) == failed
    assert all(each.task.done() for each in sender.attempts)
