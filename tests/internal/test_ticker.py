"""Tests the ticker: failing jobs and the idle interval."""

import asyncio
import io
import time

from jujubeyard.internal import ticker
from jujubeyard.output import logs

IDLE_SECONDS = 3600.0


def make_ticker(stream, *jobs) -> ticker.Ticker:
    logger = logs.make_logger("test", stream)
    return ticker.Ticker(0.001, jobs, time.monotonic, logger)


async def test_failing_job_is_logged_and_other_jobs_still_run():
    stream = io.StringIO()
    ticks = []

    def fail(_: float) -> None:
        raise KeyError("broken")

    running = asyncio.create_task(make_ticker(stream, fail, ticks.append).run())
    while len(ticks) < 3:
        await asyncio.sleep(0.001)
    running.cancel()
    assert "fail failed" in stream.getvalue()


async def test_idle_ticker_waits_until_wake():
    ticks = []
    idle_ticker = make_ticker(io.StringIO(), ticks.append)
    idle_ticker.set_idle_interval(IDLE_SECONDS, lambda: len(ticks) >= 3)
    running = asyncio.create_task(idle_ticker.run())
    async with asyncio.timeout(10.0):
        while len(ticks) < 3:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)
        assert len(ticks) == 3
        idle_ticker.wake()
        while len(ticks) < 4:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.05)
    assert len(ticks) == 4
    running.cancel()
