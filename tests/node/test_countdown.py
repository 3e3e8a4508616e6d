"""Tests of the countdown of the time for which the process runs."""

import asyncio
import time

import pytest

from jujubeyard.node import countdown

SECONDS = 0.2


@pytest.fixture
def ends(monkeypatch):
    monkeypatch.setattr(countdown, "STEP_SECONDS", SECONDS / 4)
    return []


async def _wait(ends):
    async with asyncio.timeout(10.0):
        while not ends:
            await asyncio.sleep(0.01)


async def test_countdown_ends_once_after_its_time(ends):
    started_at = time.monotonic()
    countdown.Countdown(SECONDS, lambda: ends.append(1)).restart()
    await _wait(ends)
    assert time.monotonic() - started_at >= SECONDS
    await asyncio.sleep(SECONDS)
    assert ends == [1]


@pytest.mark.parametrize("is_restarted", [False, True])
async def test_suspension_counts_as_one_step(ends, is_restarted):
    timer = countdown.Countdown(SECONDS, lambda: ends.append(1))
    timer.restart()
    if is_restarted:
        await asyncio.sleep(SECONDS / 2)
        timer.restart()
    time.sleep(2 * SECONDS)
    resumed_at = time.monotonic()
    await _wait(ends)
    assert time.monotonic() - resumed_at >= SECONDS / 2
    await asyncio.sleep(SECONDS)
    assert ends == [1]
