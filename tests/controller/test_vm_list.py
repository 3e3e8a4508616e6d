"""Tests of the client of the platform's VM list."""

import pytest

from jujubeyard import bodies
from jujubeyard.controller import vm_list
from tests.utils import raw_server

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
MAX_SENT_BYTES = 32 * bodies.MIB


@pytest.fixture
async def make_client():
    created = []

    def make(address):
        created.append(vm_list.VmListClient(address))
        return created[-1]

    yield make
    for client in created:
        await client.close()


async def test_reads_addresses_by_vm(make_client):
    body = b'{"vms": [{"vm": "a", "ip": "10.0.0.1"}]}'
    script = [HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body]
    async with raw_server.RawServer(script) as server:
        assert await make_client(server.address).read() == {"a": "10.0.0.1"}


async def test_endless_vm_list_does_not_exhaust_memory(make_client):
    script = [HEAD + b"\r\n", raw_server.Repeat(b"x" * 65536)]
    async with raw_server.RawServer(script) as server:
        assert await make_client(server.address).read() is None
    assert server.repeated_bytes < MAX_SENT_BYTES
