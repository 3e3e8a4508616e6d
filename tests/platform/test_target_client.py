"""Tests of requests to targets, with scripted replies."""

import asyncio

import pytest

from jujubeyard import bodies
from jujubeyard import clock
from jujubeyard import connections
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.platform import headers
from jujubeyard.platform import target_client
from tests.utils import endless
from tests.utils import raw_server

CONFIRMATION = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nJujubeyard-Handover: h1\r\n\r\n"
)
GRANTED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
ENDLESS = [
    b"HTTP/1.1 200 OK\r\n\r\n",
    raw_server.Repeat(b"x" * 65536),
]
DONE = target_requests.Outcome.DONE
GONE = target_requests.Outcome.GONE
UNKNOWN = target_requests.Outcome.UNKNOWN


@pytest.fixture
async def client():
    kept = connections.make_session(headers.NAMES.call_id, force_close=False)
    fresh = connections.make_session(headers.NAMES.call_id, force_close=True)
    yield ownership_client.OwnershipClient(
        None,
        kept,
        fresh,
        target_client.TargetClient(lambda _: "/health"),
        str,
        print,
        None,
    )
    await kept.close()
    await fresh.close()


async def _request(client, address: str, operation: str, send_in=1.0):
    owner = table.Owner("t1", 1, address)
    if operation == "probe":
        return (await client.probe("desk", owner)).outcome
    if operation == "grant":
        send_by = clock.boottime() + send_in
        grant = target_requests.GrantRequest(owner, 0, 9, 1, 1.0, "", send_by)
        return (await client.grant(grant, 1.0)).outcome
    release = target_requests.ReleaseRequest(owner, 0, 9, 2)
    return (await client.release(release, 1.0)).outcome


@pytest.mark.parametrize(
    ("first", "reply"),
    [
        pytest.param("grant", GRANTED, id="that of a grant"),
        pytest.param("release", CONFIRMATION, id="that of a release"),
    ],
)
async def test_reply_written_once_more_does_not_confirm_a_release(
    client, first, reply
):
    async with raw_server.RawServer([reply], [CONFIRMATION]) as server:
        assert await _request(client, server.address, first) is DONE
        assert await _request(client, server.address, "release") is DONE
        assert server.connections == 2


@pytest.mark.parametrize("earlier_count", [0, 1])
async def test_grant_whose_time_has_passed_is_not_sent(client, earlier_count):
    async with raw_server.RawServer(*[[GRANTED]] * 2) as server:
        for _ in range(earlier_count):
            assert await _request(client, server.address, "grant") is DONE
        late = await _request(client, server.address, "grant", -0.001)
        assert late is UNKNOWN
        assert await _request(client, server.address, "grant") is DONE
        assert len(server.requests) == earlier_count + 1


class Life:
    """A process that serves an address until it stops to accept connections."""

    def __init__(self, name):
        self.name = name
        self.paths = []

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_accepting(self):
        self._server.close()

    async def _serve(self, reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.paths.append(head.split()[1].decode())
            length = int(head.lower().split(b"content-length: ")[1].split()[0])
            await reader.readexactly(length)
            writer.write(CONFIRMATION.replace(b"h1", self.name))


@pytest.fixture
async def lives(client):
    """Two processes; the later one serves new connections to the address."""
    earlier, later = Life(b"earlier"), Life(b"later")
    await earlier.start()
    assert await _request(client, f"127.0.0.1:{earlier.port}", "grant") is DONE
    earlier.stop_accepting()
    await later.start(earlier.port)
    yield earlier, later
    later.stop_accepting()


@pytest.mark.parametrize(
    ("is_replaced", "paths", "handover"),
    [(False, ["/grant"], "later"), (True, ["/grant", "/release"], "earlier")],
)
async def test_release_reaches_the_process_that_kept_its_connections(
    client, lives, is_replaced, paths, handover
):
    earlier, later = lives
    owner = table.Owner("t1", 1, f"127.0.0.1:{later.port}")
    release = target_requests.ReleaseRequest(owner, 0, 9, 2)
    result = await client.release(release, 1.0, is_replaced)
    assert result.outcome is DONE
    assert result.reply.handover == handover
    assert (earlier.paths, later.paths) == (paths, ["/release"])


async def test_grants_to_the_next_life_leave_the_connections_of_the_earlier(
    client, lives
):
    earlier, later = lives
    owner = table.Owner("t1", 2, f"127.0.0.1:{later.port}")
    send_by = clock.boottime() + 1.0
    grant = target_requests.GrantRequest(owner, 0, 9, 2, 1.0, "", send_by)
    assert (await client.grant(grant, 1.0)).outcome is DONE
    assert (earlier.paths, later.paths) == (["/grant"], ["/grant"])


async def test_refusal_written_once_more_does_not_prove_that_an_owner_is_gone(
    client,
):
    async with raw_server.RawServer([MISDIRECTED], [GRANTED]) as server:
        assert await _request(client, server.address, "grant") is GONE
        assert await _request(client, server.address, "grant") is DONE
        assert server.connections == 2


@pytest.mark.parametrize("operation", ["grant", "release", "probe"])
@pytest.mark.parametrize(("start", "repeated"), endless.ANSWERS)
async def test_endless_bytes_of_targets_do_not_exhaust_memory(
    client, operation, start, repeated
):
    script = [[start, raw_server.Repeat(repeated)] for _ in range(24)]
    with endless.assert_memory_is_bounded():
        async with raw_server.RawServer(*script) as server:
            await asyncio.gather(
                *(_request(client, server.address, operation) for _ in script)
            )


@pytest.mark.parametrize("operation", ["grant", "release", "probe"])
async def test_endless_reply_of_a_target_is_not_read(client, operation):
    async with raw_server.RawServer(ENDLESS) as server:
        assert await _request(client, server.address, operation) is UNKNOWN
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
    assert server.repeated_bytes < 32 * bodies.MIB


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"600"])
@pytest.mark.parametrize("operation", ["grant", "release", "probe"])
async def test_status_that_is_none_of_an_answer_proves_nothing(
    client, operation, status
):
    """A health check with the status 000 counted as a sign of life."""
    reply = GRANTED.replace(b"200", status)
    async with raw_server.RawServer([reply]) as server:
        assert await _request(client, server.address, operation) is UNKNOWN
