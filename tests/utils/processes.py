"""Runs programs and fake peers inside the test process."""

import asyncio
import contextlib
import io
import itertools
import os

import aiohttp

from jujubeyard import context
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import server

SECRET = "test-secret-0123456789"
PORT = 7000
SECOND_OCTET_BASE = 150
ADDRESSES_PER_OCTET = 250
CONNECT_ATTEMPTS = 200
CONNECT_RETRY_SECONDS = 0.02

_address_numbers = itertools.count(1)


def make_address() -> str:
    """Returns a loopback address that no other test uses.

    Each one has its own IP address. The port is below the range that the
    system uses for outgoing connections.
    """
    number = next(_address_numbers)
    process_offset = os.getpid() % 100
    high, low = divmod(number, ADDRESSES_PER_OCTET)
    return f"127.{SECOND_OCTET_BASE + process_offset}.{high}.{low + 1}:{PORT}"


def make_identity(role: str, vm: str = "vm-0") -> identity.Identity:
    """Returns the identity of a process in the test cluster."""
    return identity.Identity("test", role, vm, "1", SECRET.encode())


def make_environment() -> context.Environment:
    """Returns an environment that captures its output in memory."""
    return context.Environment(io.StringIO(), io.StringIO())


def make_settings() -> dict:
    """Returns the settings common to the processes of all roles."""
    return {
        "cluster": "test",
        "vm": "vm-0",
        "zone": "a",
        "secret": SECRET,
        "admin": make_address(),
        "listen": make_address(),
    }


async def connect_when_ready(
    address: str, own_identity: identity.Identity, handler: link.Handler
) -> link.Link:
    """Opens a link, retrying while the peer is still starting.

    Args:
        address: Address of the peer.
        own_identity: Identity to present to the peer.
        handler: Called with the link and each received message.

    Raises:
        TimeoutError: The peer refused all connection attempts.
    """
    for _ in range(CONNECT_ATTEMPTS):
        try:
            return await link.connect(
                address, own_identity, handler, faults.LinkFaults()
            )
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_SECONDS)
    raise TimeoutError(f"no process listens on {address}")


class FakePeer:
    """A gate or controller whose reaction to messages the test defines.

    Attributes:
        address: Address that it listens on.
        received: Received messages, in order.
        on_message: Called with the link and each received message.
    """

    def __init__(self, role: str, on_message):
        self.address = make_address()
        self.received: list[messages.Message] = []
        self.on_message = on_message
        self._server = server.LinkServer(
            make_identity(role), self._handle, faults.LinkFaults()
        )

    @property
    def links(self) -> set[link.Link]:
        """Links that are currently open."""
        return self._server.links

    async def __aenter__(self) -> "FakePeer":
        await self._server.start(self.address)
        return self

    async def __aexit__(self, *_) -> None:
        await self._server.stop()

    def _handle(self, peer: link.Link, message: messages.Message) -> None:
        self.received.append(message)
        self.on_message(peer, message)


@contextlib.asynccontextmanager
async def serving(serve, cfg):
    """Runs a program's serve function as a task while the block runs.

    Yields:
        The task; it is stopped at the end of the block.
    """
    stop = asyncio.Event()
    task = asyncio.create_task(serve(cfg, make_environment(), stop))
    try:
        yield task
    finally:
        stop.set()
        await asyncio.wait_for(task, 20.0)


async def call(
    address: str, path: str, body: bytes = b"", method: str = "POST", **headers
) -> tuple[int, int, bool, bytes]:
    """Sends a call and reads the response.

    Args:
        address: Address of the entry.
        path: Path of the request, with the service.
        body: Body of the request.
        method: HTTP method.
        **headers: Request headers, with underscores for hyphens.

    Returns:
        HTTP status, result code, whether the response is marked as not run,
        and the body.
    """
    request_headers = {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method,
            f"http://{address}{path}",
            data=body,
            headers=request_headers,
        ) as resp,
    ):
        return (
            resp.status,
            int(resp.headers["Jujubeyard-Code"]),
            resp.headers["Jujubeyard-Not-Run"] == "true",
            await resp.read(),
        )


async def wait_for(condition, seconds: float = 10.0) -> None:
    """Waits until the condition function returns a true value."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
