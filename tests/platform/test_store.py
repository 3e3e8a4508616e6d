"""Tests of the store client with answers that arrive slowly or not at all."""

import base64
import json

import pytest

from jujubeyard.node import upstream
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.store import interface
from tests.utils import raw_server

CALL_SECONDS = 0.2
SLACK_SECONDS = 0.2
CHUNK_PAUSE_SECONDS = 0.1


def _make_answer(value_bytes: int) -> bytes:
    entry = {
        "key": "op/config",
        "value": base64.b64encode(b"x" * value_bytes).decode(),
        "revision": 7,
        "createdAt": 3,
        "lease": 0,
    }
    document = {
        "items": [entry],
        "events": [entry],
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
        session = upstream.make_session(headers.NAMES, force_close=False)
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
