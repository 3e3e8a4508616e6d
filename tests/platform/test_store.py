"""Tests of the store client with answers that arrive slowly or not at all."""

import asyncio
import base64
import json

import pytest

from jujubeyard import bodies
from jujubeyard import connections
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.store import interface
from tests.utils import endless
from tests.utils import raw_server

CALL_SECONDS = 0.2
SLACK_SECONDS = 0.2
CHUNK_PAUSE_SECONDS = 0.1


def _make_answer(value_bytes: int, versions: int = 1) -> bytes:
    entry = {
        "key": "op/config",
        "value": base64.b64encode(b"x" * value_bytes).decode(),
        "revision": 7,
        "createdAt": 3,
        "lease": 0,
    }
    document = {
        "items": [entry] * versions,
        "events": [entry] * versions,
        "hasMore": False,
        "storeRevision": 9,
    }
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _send_slowly(answer: bytes, pieces: int) -> list:
    size = len(answer) // pieces + 1
    steps = []
    for start in range(0, len(answer), size):
        steps += [answer[start : start + size], CHUNK_PAUSE_SECONDS]
    return steps


@pytest.fixture
async def make_store():
    sessions = []

    def make(address: str) -> store.PlatformStore:
        session = connections.make_session(
            headers.NAMES.call_id, force_close=False
        )
        sessions.append(session)
        return store.PlatformStore(
            address, session, CALL_SECONDS, SLACK_SECONDS
        )

    yield make
    for session in sessions:
        await session.close()


@pytest.mark.parametrize("operation", ["read_all", "watch"])
async def test_slow_transfer_of_large_configuration_is_not_cut_off(
    make_store, operation
):
    steps = _send_slowly(_make_answer(300_000), 8)
    async with raw_server.RawServer(steps) as server:
        client = make_store(server.address)
        if operation == "read_all":
            outcome = await client.read_all("op/")
        else:
            outcome = await client.watch("op/", 1, CALL_SECONDS)
    assert outcome.is_ok(), outcome
    assert len(outcome.ok_value.items[0].value) == 300_000


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([5.0], id="no answer"),
        pytest.param([_make_answer(1000)[:20], 5.0], id="stops in the head"),
        pytest.param([_make_answer(1000)[:500], 5.0], id="stops in the body"),
    ],
)
async def test_silent_store_fails_a_call(make_store, steps):
    async with raw_server.RawServer(steps) as server:
        outcome = await make_store(server.address).read_all("op/")
    assert outcome.err_value.kind is interface.FailureKind.UNKNOWN


async def test_history_of_a_large_configuration_is_not_transferred(make_store):
    answer = _make_answer(300_000, versions=20)
    steps = _send_slowly(answer, 20)
    async with raw_server.RawServer(steps) as server:
        outcome = await make_store(server.address).watch("op/", 1, 1.0)
    assert outcome.err_value.kind is interface.FailureKind.TOO_LARGE


@pytest.mark.parametrize("operation", ["read_all", "read", "watch"])
async def test_endless_answer_of_the_store_does_not_exhaust_memory(
    make_store, operation
):
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    script = [head, raw_server.Repeat(b"x" * 65536)]
    async with raw_server.RawServer(script) as server:
        client = make_store(server.address)
        arguments = ("op/", 1, 1.0) if operation == "watch" else ("op/",)
        outcome = await getattr(client, operation)(*arguments)
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert outcome.err_value.kind is interface.FailureKind.TOO_LARGE
    assert server.repeated_bytes < 32 * bodies.MIB


STORE_CALLS = [
    pytest.param("read_all", ("op/",), id="read"),
    pytest.param("watch", ("op/", 1, 0.5), id="watch"),
    pytest.param("write", ([], []), id="write"),
]


@pytest.mark.parametrize(("operation", "arguments"), STORE_CALLS)
@pytest.mark.parametrize(("start", "repeated"), endless.ANSWERS)
async def test_endless_bytes_of_the_store_do_not_exhaust_memory(
    make_store, operation, arguments, start, repeated
):
    script = [[start, raw_server.Repeat(repeated)] for _ in range(4)]
    with endless.assert_memory_is_bounded():
        async with raw_server.RawServer(*script) as server:
            client = make_store(server.address)
            calls = [getattr(client, operation)(*arguments) for _ in script]
            await asyncio.gather(*calls)


async def test_large_pages_of_the_store_do_not_exhaust_memory(make_store):
    page = _make_answer(bodies.MIB).replace(b"false", b"true ")
    script = [[page]] * store.MAX_PAGES
    async with raw_server.RawServer(*script) as server:
        outcome = await make_store(server.address).read_all("op/")
    assert outcome.err_value.kind is interface.FailureKind.TOO_LARGE
    assert len(server.requests) <= 16


async def test_pages_of_the_store_do_not_go_on_without_end(make_store):
    page = _make_answer(10).replace(b"false", b"true ")
    script = [[page]] * (store.MAX_PAGES + 5)
    async with raw_server.RawServer(*script) as server:
        outcome = await make_store(server.address).read_all("op/")
    assert outcome.err_value.kind is interface.FailureKind.TOO_LARGE


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"600"])
async def test_status_that_is_none_of_an_answer_says_nothing_of_a_write(
    make_store, status
):
    """Such an answer to a write must not count as one."""
    reply = _make_answer(1).replace(b"200", status, 1)
    async with raw_server.RawServer([reply], [_make_answer(1)]) as server:
        client = make_store(server.address)
        outcome = await client.write([], [interface.Put("a", b"x")])
        assert outcome.err_value.kind is interface.FailureKind.UNKNOWN
        assert (await client.read_all("op/")).is_ok()
