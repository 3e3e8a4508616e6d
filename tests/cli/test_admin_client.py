"""Tests of the client of processes' admin servers."""

from jujubeyard import bodies
from jujubeyard.cli import admin_client
from tests.utils import raw_server

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
WHOLE_ANSWER = HEAD + b'Content-Length: 7\r\n\r\n{"a":1}'
MAX_SENT_BYTES = 32 * bodies.MIB


async def test_endless_status_of_a_process_does_not_exhaust_memory():
    endless = [HEAD + b"\r\n", raw_server.Repeat(b"x" * 65536)]
    async with (
        raw_server.RawServer(endless) as faulty,
        raw_server.RawServer([WHOLE_ANSWER]) as sound,
    ):
        documents = await admin_client.fetch_all(
            [faulty.address, sound.address], "/status"
        )
    assert documents == {faulty.address: None, sound.address: {"a": 1}}
    assert faulty.repeated_bytes < MAX_SENT_BYTES
