"""Tests of the fault-injecting TCP proxy of the soak."""

import asyncio
import itertools
import time

import pytest

from soak import proxy

PORTS = itertools.count(18200)
HOST = "127.77.0.1"


async def _echo(reader, writer):
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


@pytest.fixture
async def proxy_and_port():
    server = await asyncio.start_server(_echo, HOST, next(PORTS))
    tcp_proxy = proxy.Proxy(server.sockets[0].getsockname())
    port = next(PORTS)
    await tcp_proxy.start(HOST, port)
    yield tcp_proxy, port
    tcp_proxy.close()
    server.close()


async def _send_and_receive(reader, writer, seconds=0.3):
    writer.write(b"x")
    async with asyncio.timeout(seconds):
        return await reader.read(100)


async def test_bytes_are_forwarded_in_both_directions(proxy_and_port):
    _, port = proxy_and_port
    reader, writer = await asyncio.open_connection(HOST, port)
    assert await _send_and_receive(reader, writer) == b"x"
    writer.close()


@pytest.mark.parametrize(
    ("inward", "outward"), [(True, False), (False, True), (True, True)]
)
async def test_paused_bytes_arrive_after_resuming(
    proxy_and_port, inward, outward
):
    tcp_proxy, port = proxy_and_port
    reader, writer = await asyncio.open_connection(HOST, port)
    assert await _send_and_receive(reader, writer) == b"x"
    tcp_proxy.pause(inward, outward)
    with pytest.raises(TimeoutError):
        await _send_and_receive(reader, writer)
    tcp_proxy.pause(False, False)
    async with asyncio.timeout(1.0):
        assert await reader.read(100) == b"x"
    writer.close()


async def test_reset_resets_open_connections(proxy_and_port):
    tcp_proxy, port = proxy_and_port
    reader, writer = await asyncio.open_connection(HOST, port)
    assert await _send_and_receive(reader, writer) == b"x"
    tcp_proxy.reset()
    with pytest.raises(ConnectionResetError):
        await _send_and_receive(reader, writer, 1.0)
    writer.close()


async def test_refusing_proxy_resets_new_connections(proxy_and_port):
    tcp_proxy, port = proxy_and_port
    tcp_proxy.is_refusing = True
    reader, writer = await asyncio.open_connection(HOST, port)
    with pytest.raises(ConnectionError):
        await _send_and_receive(reader, writer)


async def test_delayed_bytes_keep_their_order(proxy_and_port):
    tcp_proxy, port = proxy_and_port
    tcp_proxy.delay_seconds = 0.05
    reader, writer = await asyncio.open_connection(HOST, port)
    for number in range(5):
        writer.write(bytes([65 + number]))
        await asyncio.sleep(0.01)
    async with asyncio.timeout(1.0):
        assert await reader.readexactly(5) == b"ABCDE"
    writer.close()


async def test_connections_share_the_bandwidth_to_clients(proxy_and_port):
    tcp_proxy, port = proxy_and_port
    tcp_proxy.bytes_per_second = 100_000
    conns = [await asyncio.open_connection(HOST, port) for _ in range(2)]
    started_at = time.monotonic()
    for _, writer in conns:
        writer.write(b"x" * 20_000)
    for reader, writer in conns:
        async with asyncio.timeout(2.0):
            await reader.readexactly(20_000)
        writer.close()
    assert time.monotonic() - started_at >= 0.4


async def test_bytes_stay_in_order_when_a_delay_ends(proxy_and_port):
    tcp_proxy, port = proxy_and_port
    reader, writer = await asyncio.open_connection(HOST, port)
    tcp_proxy.delay_seconds = 0.1
    writer.write(b"a")
    await asyncio.sleep(0.05)
    tcp_proxy.delay_seconds = 0.0
    writer.write(b"b")
    async with asyncio.timeout(1.0):
        assert await reader.readexactly(2) == b"ab"
    writer.close()
