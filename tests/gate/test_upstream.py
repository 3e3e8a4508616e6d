"""Tests of a gate's client with scripted answers of a target."""

import asyncio
import time

import aiohttp
import pytest

from jujubeyard import bodies
from jujubeyard.gate import upstream
from jujubeyard.link import messages
from tests.utils import raw_server

CALL = messages.Call(
    query=1,
    service="desk",
    kind="order",
    shard=1,
    key="k",
    member="m",
    request_id="r1",
    budget=1000.0,
    plan_version=1,
    method="POST",
    path="/x",
    content_type="",
    body=b"",
)
METADATA = upstream.CallMetadata("c1", 1, 1, 1)
HEAD = b"HTTP/1.1 200 OK\r\nJujubeyard-Call: c1\r\n"


def _make_answer(*headers: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", *headers, "Content-Length: 2", "", "ok"]
    return "\r\n".join(lines).encode()


@pytest.fixture
async def send():
    clients = []

    async def send_call(address: str) -> upstream.TargetResponse:
        client = upstream.Upstream(address, 4, lambda: True, time.monotonic)
        clients.append(client)
        return await client.send(CALL, METADATA, 2.0)

    yield send_call
    for client in clients:
        await client.close()


@pytest.mark.parametrize(
    ("headers", "matches_call"),
    [
        (["Jujubeyard-Call: c1"], True),
        (["Jujubeyard-Call: c0"], False),
        ([], True),
        (["Jujubeyard-Refused: slots", "Jujubeyard-Call: c1"], True),
        (["Jujubeyard-Refused: slots", "Jujubeyard-Call: c0"], False),
        (["Jujubeyard-Refused: slots"], False),
    ],
)
async def test_refusal_that_names_no_call_is_not_believed(
    send, headers, matches_call
):
    async with raw_server.RawServer([_make_answer(*headers)]) as server:
        response = await send(server.address)
    assert response.matches_call is matches_call


async def test_endless_body_of_a_target_does_not_exhaust_memory(send):
    script = [HEAD + b"\r\n", raw_server.Repeat(b"x" * 65536)]
    async with raw_server.RawServer(script) as server:
        with pytest.raises(aiohttp.ClientPayloadError):
            await send(server.address)
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert server.repeated_bytes < 32 * bodies.MIB
