"""Ticks, and longer ones while nothing is pending."""

import asyncio
import io
import time

from jujubeyard.internal import ticker
from jujubeyard.output import logs

LONG_SECONDS = 3600.0


def make_ticker(stream, *systems) -> ticker.Ticker:
    logger = logs.make_logger("test", stream)
    return ticker.Ticker(0.001, systems, time.monotonic, logger)


async def test_failing_system_is_logged_and_the_others_run_on():
    stream = io.StringIO()
    ticks = []

    def fail(_: float) -> None:
        raise KeyError("broken")

    running = asyncio.create_task(make_ticker(stream, fail, ticks.append).run())
    while len(ticks) < 3:
        await asyncio.sleep(0.001)
    running.cancel()
    assert "fail failed" in stream.getvalue()


async def test_idle_ticker_rests_until_it_is_woken():
    ticks = []
    made = make_ticker(io.StringIO(), ticks.append)
    made.set_idle_interval(LONG_SECONDS, lambda: len(ticks) >= 3)
    running = asyncio.create_task(made.run())
    async with asyncio.timeout(10.0):
        while len(ticks) < 3:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)
        assert len(ticks) == 3
        made.wake()
        while len(ticks) < 4:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.05)
    assert len(ticks) == 4
    running.cancel()
