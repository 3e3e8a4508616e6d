"""Links between two ends in one process."""

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


async def open_link(address: str, me=None, broken=None) -> link.Link:
    return await link.connect(
        address,
        me or processes.make_identity("entry"),
        lambda *_: None,
        broken or faults.LinkFaults(),
    )


async def test_replies_find_their_requests():
    async with processes.FakePeer("gate", echo) as fake:
        opened = await open_link(fake.address)
        running = asyncio.create_task(opened.run())
        calls = [
            dataclasses.replace(CALL, body=str(n).encode()) for n in range(50)
        ]
        futs = [opened.send_request(call) for call in calls]
        replies = await asyncio.gather(*futs)
        assert [reply.body for reply in replies] == [c.body for c in calls]
        opened.close()
        await asyncio.wait_for(running, 5.0)


async def test_closed_link_fails_its_requests():
    async with processes.FakePeer("gate", lambda p, _: p.close()) as fake:
        opened = await open_link(fake.address)
        running = asyncio.create_task(opened.run())
        fut = opened.send_request(dataclasses.replace(CALL))
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(fut, 5.0)
        assert opened.send_request(dataclasses.replace(CALL)) is None
        await asyncio.wait_for(running, 5.0)


async def test_cut_link_loses_messages():
    async with processes.FakePeer("gate", echo) as fake:
        broken = faults.LinkFaults(drop_to={"gate:*"})
        opened = await open_link(fake.address, broken=broken)
        running = asyncio.create_task(opened.run())
        fut = opened.send_request(dataclasses.replace(CALL))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(fut, 0.2)
        assert fake.received == []
        opened.close()
        await asyncio.wait_for(running, 5.0)


STRANGERS = {
    "another cluster": {"cluster": "other"},
    "another secret": {"secret": b"another-secret-0123456789"},
}


@pytest.mark.parametrize("name", STRANGERS)
async def test_peer_with_wrong_identity_is_refused(name):
    me = dataclasses.replace(
        processes.make_identity("entry"), **STRANGERS[name]
    )
    async with processes.FakePeer("gate", echo) as fake:
        with pytest.raises(errors.LinkError) as caught:
            await open_link(fake.address, me)
        assert caught.value.code == codes.ResultCode.LINK_BAD_IDENTITY
        assert fake._server.refused == {403: 1}
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
async def test_bad_handshake_closes_with_the_code(name):
    frame, code = FIRST_FRAMES[name]
    async with processes.FakePeer("gate", echo) as fake:
        conn = await websockets.asyncio.client.connect(
            f"ws://{fake.address}/", proxy=None
        )
        await conn.recv()
        await conn.send(frame)
        await asyncio.wait_for(conn.wait_closed(), 5.0)
        assert conn.close_reason == str(int(code))
        assert fake._server.refused == {int(code): 1}


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


async def test_failing_handler_costs_one_message_only():
    def fail_once(peer: link.Link, message: messages.Message) -> None:
        if message.body == b"bad":
            raise KeyError("bad")
        echo(peer, message)

    async with processes.FakePeer("gate", fail_once) as fake:
        opened = await open_link(fake.address)
        running = asyncio.create_task(opened.run())
        lost = opened.send_request(dataclasses.replace(CALL, body=b"bad"))
        good = opened.send_request(dataclasses.replace(CALL, body=b"good"))
        reply = await asyncio.wait_for(good, 5.0)
        assert reply.body == b"good"
        assert not lost.done()
        opened.close()
        await asyncio.wait_for(running, 5.0)


async def test_link_that_can_not_write_closes():
    async with processes.FakePeer("gate", echo) as fake:
        opened = await open_link(fake.address)
        running = asyncio.create_task(opened.run())
        fut = opened.send_request(dataclasses.replace(CALL, body=object()))
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(fut, 5.0)
        await asyncio.wait_for(running, 5.0)
        assert opened.closed.is_set()
