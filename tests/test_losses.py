"""Tests of noticing peers that have closed all connections to them."""

import asyncio

import pytest

from jujubeyard import connections
from jujubeyard import losses
from tests.utils import raw_server

GRANTED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ANNOUNCED = GRANTED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
CLOSE, RESET = raw_server.CLOSE, raw_server.RESET
SETTLED_SECONDS = 0.05


@pytest.mark.parametrize(
    ("scripts", "is_lost"),
    [
        pytest.param([[GRANTED]], False, id="kept"),
        pytest.param([[GRANTED, CLOSE]], True, id="closed"),
        pytest.param([[GRANTED, RESET]], True, id="reset"),
        pytest.param([[ANNOUNCED]], False, id="asks to close"),
        pytest.param([[GRANTED], [GRANTED, CLOSE]], False, id="one of two"),
        pytest.param(
            [[GRANTED, CLOSE], [GRANTED, RESET]], True, id="both of two"
        ),
    ],
)
async def test_peer_that_closes_all_connections_is_noticed(scripts, is_lost):
    tracker = losses.LossTracker()
    session = connections.make_session("X-Call", False, tracker)

    async def request():
        async with session.get(f"http://{server.address}/"):
            pass

    async with raw_server.RawServer(*scripts) as server:
        await asyncio.gather(*(request() for _ in scripts))
        await asyncio.sleep(SETTLED_SECONDS)
        assert (server.address in tracker.lost) is is_lost
    await session.close()


async def test_own_end_of_a_connection_is_no_loss():
    tracker = losses.LossTracker()
    session = connections.make_session("X-Call", False, tracker)
    async with raw_server.RawServer([GRANTED]) as server:
        async with session.get(f"http://{server.address}/"):
            pass
        await session.close()
        await asyncio.sleep(SETTLED_SECONDS)
        assert not tracker.lost
