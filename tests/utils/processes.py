"""Runs parts of the system in the test's own process."""

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
FIRST_OCTET = 150
LAST_OCTETS = 250
DIALS = 200
DIAL_SECONDS = 0.02
"""Between two tries to dial."""

_numbers = itertools.count(1)


def make_address() -> str:
    """Returns a loopback address that no other test uses.

    Each has an IP number of its own, below the ports of outgoing connections.
    """
    number = next(_numbers)
    process = os.getpid() % 100
    high, low = divmod(number, LAST_OCTETS)
    return f"127.{FIRST_OCTET + process}.{high}.{low + 1}:{PORT}"


def make_identity(role: str, vm: str = "vm-0") -> identity.Identity:
    """Returns the identity of a process of the test cluster."""
    return identity.Identity("test", role, vm, "1", SECRET.encode())


def make_environment() -> context.Environment:
    """Returns an environment that keeps what is written."""
    return context.Environment(io.StringIO(), io.StringIO())


def make_settings() -> dict:
    """Returns the settings that processes of every role have."""
    return {
        "cluster": "test",
        "vm": "vm-0",
        "zone": "a",
        "secret": SECRET,
        "admin": make_address(),
        "listen": make_address(),
    }


async def connect_when_ready(
    address: str, me: identity.Identity, handler: link.Handler
) -> link.Link:
    """Opens a link to a process that is starting.

    Raises:
        TimeoutError: It does not listen.
    """
    for _ in range(DIALS):
        try:
            return await link.connect(address, me, handler, faults.LinkFaults())
        except OSError:
            await asyncio.sleep(DIAL_SECONDS)
    raise TimeoutError(f"nobody listens on {address}")


class FakePeer:
    """A gate or a controller whose answers the test scripts.

    Attributes:
        address: Where it listens.
        received: Messages that it got.
        answer: Called with the link and each message.
    """

    def __init__(self, role: str, answer):
        self.address = make_address()
        self.received: list[messages.Message] = []
        self.answer = answer
        self._server = server.LinkServer(
            make_identity(role), self._handle, faults.LinkFaults()
        )

    @property
    def links(self) -> set[link.Link]:
        """The open links."""
        return self._server.links

    async def __aenter__(self) -> "FakePeer":
        await self._server.start(self.address)
        return self

    async def __aexit__(self, *_) -> None:
        await self._server.stop()

    def _handle(self, peer: link.Link, message: messages.Message) -> None:
        self.received.append(message)
        self.answer(peer, message)


@contextlib.asynccontextmanager
async def serving(serve, cfg):
    """Runs a program's serve function beside the test."""
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
    """Sends a caller's request.

    Returns:
        HTTP status, result code, whether it says "not run", and the body.
    """
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"http://{address}{path}", data=body, headers=sent
        ) as resp,
    ):
        return (
            resp.status,
            int(resp.headers["Jujubeyard-Code"]),
            resp.headers["Jujubeyard-Not-Run"] == "true",
            await resp.read(),
        )


async def wait_for(condition, seconds: float = 10.0) -> None:
    """Waits until a function returns something true."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
