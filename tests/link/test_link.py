"""Tests links between two peers in one process."""

import asyncio
import dataclasses

import pytest
import websockets
import websockets.asyncio.client

from jujubeyard import codes
from jujubeyard import errors
from jujubeyard.link import codec
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import link
from jujubeyard.link import messages
from tests.utils import processes

CALL = messages.Call(
    0, "desk", "read", 3, "k", "m", "r", 20.5, 9, "POST", "/x", "", b""
)


def echo(peer: link.Link, message: messages.Message) -> None:
    if isinstance(message, messages.Call):
        peer.send(
            messages.CallReply(
                message.query, 100, 200, "", message.body, "t", 1, 0
            )
        )


async def open_link(
    address: str, own_identity=None, link_faults=None
) -> link.Link:
    return await link.connect(
        address,
        own_identity or processes.make_identity("entry"),
        lambda *_: None,
        link_faults or faults.LinkFaults(),
    )


async def test_replies_are_matched_with_requests():
    async with processes.FakePeer("gate", echo) as fake:
        client = await open_link(fake.address)
        running = asyncio.create_task(client.run())
        calls = [
            dataclasses.replace(CALL, body=str(n).encode()) for n in range(50)
        ]
        futures = [client.send_request(call) for call in calls]
        replies = await asyncio.gather(*futures)
        assert [reply.body for reply in replies] == [c.body for c in calls]
        client.close()
        await asyncio.wait_for(running, 5.0)


async def test_closing_a_link_fails_pending_requests():
    async with processes.FakePeer("gate", lambda p, _: p.close()) as fake:
        client = await open_link(fake.address)
        running = asyncio.create_task(client.run())
        future = client.send_request(dataclasses.replace(CALL))
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(future, 5.0)
        assert client.send_request(dataclasses.replace(CALL)) is None
        await asyncio.wait_for(running, 5.0)


async def test_injected_fault_drops_messages():
    async with processes.FakePeer("gate", echo) as fake:
        link_faults = faults.LinkFaults(drop_to={"gate:*"})
        client = await open_link(fake.address, link_faults=link_faults)
        running = asyncio.create_task(client.run())
        future = client.send_request(dataclasses.replace(CALL))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(future, 0.2)
        assert fake.received == []
        client.close()
        await asyncio.wait_for(running, 5.0)


WRONG_IDENTITIES = {
    "another cluster": {"cluster": "other"},
    "another secret": {"secret": b"another-secret-0123456789"},
}


@pytest.mark.parametrize("name", WRONG_IDENTITIES)
async def test_peer_with_wrong_identity_is_refused(name):
    own_identity = dataclasses.replace(
        processes.make_identity("entry"), **WRONG_IDENTITIES[name]
    )
    async with processes.FakePeer("gate", echo) as fake:
        with pytest.raises(errors.LinkError) as raised:
            await open_link(fake.address, own_identity)
        assert raised.value.code == codes.ResultCode.LINK_BAD_IDENTITY
        assert fake._server.refused_handshakes == {403: 1}
        assert not fake.links


FIRST_FRAMES = {
    "no frame": (b"\xff\xff", codes.ResultCode.LINK_BAD_FRAME),
    "text": ("hello", codes.ResultCode.LINK_BAD_FRAME),
    "no Hello": (
        codec.encode_frame([CALL], 1),
        codes.ResultCode.LINK_BAD_IDENTITY,
    ),
    "replayed Hello": (
        codec.encode_frame(
            [identity.make_hello(processes.make_identity("entry"), "old")], 1
        ),
        codes.ResultCode.LINK_BAD_IDENTITY,
    ),
}


@pytest.mark.parametrize("name", FIRST_FRAMES)
async def test_bad_handshake_closes_with_its_error_code(name):
    frame, code = FIRST_FRAMES[name]
    async with processes.FakePeer("gate", echo) as fake:
        conn = await websockets.asyncio.client.connect(
            f"ws://{fake.address}/", proxy=None
        )
        await conn.recv()
        await conn.send(frame)
        await asyncio.wait_for(conn.wait_closed(), 5.0)
        assert conn.close_reason == str(int(code))
        assert fake._server.refused_handshakes == {int(code): 1}


async def test_bad_frame_closes_only_its_link():
    async with processes.FakePeer("gate", echo) as fake:
        good = await open_link(fake.address)
        bad = await open_link(fake.address)
        tasks = [asyncio.create_task(p.run()) for p in (good, bad)]
        await bad._conn.send(b"\x00garbage")
        await asyncio.wait_for(bad.closed.wait(), 5.0)
        reply = await asyncio.wait_for(
            good.send_request(dataclasses.replace(CALL)), 5
        )
        assert reply.code == 100
        good.close()
        await asyncio.gather(*tasks)


async def test_failing_handler_loses_only_its_message():
    def fail_once(peer: link.Link, message: messages.Message) -> None:
        if message.body == b"bad":
            raise KeyError("bad")
        echo(peer, message)

    async with processes.FakePeer("gate", fail_once) as fake:
        client = await open_link(fake.address)
        running = asyncio.create_task(client.run())
        lost = client.send_request(dataclasses.replace(CALL, body=b"bad"))
        good = client.send_request(dataclasses.replace(CALL, body=b"good"))
        reply = await asyncio.wait_for(good, 5.0)
        assert reply.body == b"good"
        assert not lost.done()
        client.close()
        await asyncio.wait_for(running, 5.0)


async def test_link_closes_when_a_message_cannot_be_encoded():
    async with processes.FakePeer("gate", echo) as fake:
        client = await open_link(fake.address)
        running = asyncio.create_task(client.run())
        future = client.send_request(dataclasses.replace(CALL, body=object()))
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(future, 5.0)
        await asyncio.wait_for(running, 5.0)
        assert client.closed.is_set()
