"""Tests of a gate's client with scripted answers of a target."""

import asyncio
import time

import aiohttp
import pytest

from jujubeyard import bodies
from jujubeyard.gate import upstream
from jujubeyard.link import codec
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


MAX_SENT_BYTES = 32 * bodies.MIB
BLOCK = b"x" * 65536
MAX_HEADER_CHARACTERS = 8190
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000


def _make_answer(*headers: str, body: str = "ok") -> bytes:
    lines = ["HTTP/1.1 200 OK", *headers, "Content-Length: 2", "", body]
    return "\r\n".join(lines).encode()


OWN_ANSWER = _make_answer("Jujubeyard-Call: c1")
OTHER_ANSWER = _make_answer("Jujubeyard-Call: c0", body="no")


@pytest.fixture
async def make_client():
    clients = []
    reader = bodies.BodyReader(
        upstream.MAX_ANSWER_BYTES, upstream.MAX_BUFFERED_BYTES
    )

    def make(address: str) -> upstream.Upstream:
        client = upstream.Upstream(
            address, 4, lambda: True, time.monotonic, reader
        )
        clients.append(client)
        return client

    yield make
    for client in clients:
        await client.close()


@pytest.mark.parametrize(
    ("headers", "matches_call"),
    [
        (["Jujubeyard-Call: c1"], True),
        ([], True),
        (["Jujubeyard-Refused: slots", "Jujubeyard-Call: c1"], True),
        (["Jujubeyard-Refused: slots"], False),
    ],
)
async def test_refusal_that_names_no_call_is_not_believed(
    make_client, headers, matches_call
):
    script = [_make_answer(*headers)], [OWN_ANSWER]
    async with raw_server.RawServer(*script) as server:
        client = make_client(server.address)
        response = await client.send(CALL, METADATA, 2.0)
        await client.send(CALL, METADATA, 2.0)
    assert response.matches_call is matches_call
    assert server.connections == (1 if matches_call else 2)


@pytest.mark.parametrize(
    "headers",
    [
        ["Jujubeyard-Call: c0"],
        ["Jujubeyard-Refused: slots", "Jujubeyard-Call: c0"],
    ],
)
@pytest.mark.parametrize("is_followed", [True, False])
async def test_answer_to_another_call_is_not_taken(
    make_client, headers, is_followed
):
    first = [_make_answer(*headers, body="no"), 0.01]
    if is_followed:
        first.append(OWN_ANSWER)
    async with raw_server.RawServer(first, [OWN_ANSWER]) as server:
        client = make_client(server.address)
        if is_followed:
            response = await client.send(CALL, METADATA, 0.5)
            assert (response.body, response.refusal) == (b"ok", "")
        else:
            with pytest.raises(TimeoutError):
                await client.send(CALL, METADATA, 0.5)
        response = await client.send(CALL, METADATA, 0.5)
    assert (response.body, response.refusal) == (b"ok", "")
    assert server.connections == 2


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(HEAD + b"\r\n", BLOCK, id="body without length"),
        pytest.param(HEAD, b"X-More: y\r\n" * 1000, id="headers"),
        pytest.param(b"", INTERIM, id="interim answers"),
        pytest.param(b"", OTHER_ANSWER * 1000, id="answers to other calls"),
    ],
)
async def test_endless_bytes_of_a_target_do_not_exhaust_memory(
    make_client, start, repeated
):
    script = [start, raw_server.Repeat(repeated)]
    async with raw_server.RawServer(script) as server:
        with pytest.raises(aiohttp.ClientError):
            await make_client(server.address).send(CALL, METADATA, 2.5)
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert server.repeated_bytes < MAX_SENT_BYTES


def test_largest_answer_does_not_break_the_link_to_its_entry():
    body = b"x" * upstream.MAX_ANSWER_BYTES
    content_type = "t" * MAX_HEADER_CHARACTERS
    reply = messages.CallReply(1, 100, 200, content_type, body, "", 1, 0)
    assert len(codec.encode_frame([reply], 0)) <= codec.MAX_FRAME_BYTES


@pytest.mark.parametrize("repeated", [BLOCK, OTHER_ANSWER * 1000])
async def test_endless_bytes_on_an_idle_connection_close_it(
    make_client, repeated
):
    script = [OWN_ANSWER, 0.05, raw_server.Repeat(repeated)]
    async with raw_server.RawServer(script) as server:
        await make_client(server.address).send(CALL, METADATA, 2.0)
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert server.repeated_bytes < MAX_SENT_BYTES


async def test_late_answer_to_a_call_confirms_no_grants(make_client):
    script = (
        [_make_answer("Jujubeyard-Call: c0", body="{}")],
        [_make_answer(body="{}")],
    )
    async with raw_server.RawServer(*script) as server:
        client = make_client(server.address)
        with pytest.raises(aiohttp.ClientPayloadError):
            await client.renew_grants(1, {})
        response = await client.renew_grants(1, {})
    assert response.accepted
    assert server.connections == 2


async def test_endless_bodies_of_many_targets_share_a_memory_limit(
    make_client,
):
    script = [[HEAD + b"\r\n", raw_server.Repeat(BLOCK)] for _ in range(20)]
    async with raw_server.RawServer(*script) as server:
        outcomes = await asyncio.gather(
            *(
                make_client(server.address).send(CALL, METADATA, 2.5)
                for _ in script
            ),
            return_exceptions=True,
        )
    assert all(isinstance(exc, aiohttp.ClientError) for exc in outcomes)
    assert server.repeated_bytes < 5 * MAX_SENT_BYTES
