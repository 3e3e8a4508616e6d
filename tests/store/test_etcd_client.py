"""Tests of the etcd client with answers without end."""

import asyncio

from jujubeyard import bodies
from jujubeyard.store import etcd_client
from tests.utils import raw_server

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


async def test_endless_answer_of_the_store_does_not_exhaust_memory():
    script = [HEAD, raw_server.Repeat(b"x" * 65536)]
    async with raw_server.RawServer(script) as server:
        client = etcd_client.EtcdClient(server.address)
        outcome = await client.read("config")
        async with asyncio.timeout(1.0):
            await server.repeat_ended.wait()
        await client.close()
    assert outcome.is_err()
    assert server.repeated_bytes < 32 * bodies.MIB
