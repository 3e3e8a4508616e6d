"""Clients that speak HTTP/1.1 on plain sockets."""

import asyncio
import collections.abc
import dataclasses
import socket
import typing

from review.shared2 import world


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client has received for a request.

    Attributes:
        status: The status; 0 if there was no answer.
        headers: Headers by their names in lower case.
        body: What was received of the body.
        is_complete: Whether the answer came whole.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


def format_request(
    path: str,
    request_id: str,
    deadline_ms: int,
    method: str = "GET",
    body: bytes = b"",
    headers: collections.abc.Sequence[tuple[str, str]] = (),
) -> bytes:
    """Returns the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {world.HOST}",
        f"Jujubeyard-Request-Id: {request_id}",
        f"Jujubeyard-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name}: {text}" for name, text in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Front(typing.Protocol):
    """What a client connects to: a node, or a link to it.

    Attributes:
        ip: Its address.
    """

    ip: str


class Client:
    """A connection of a client to a node.

    Attributes:
        has_data: Whether something of an answer was received since the latest
            call of `receive`.
    """

    def __init__(self, front: Front):
        """Initializes a client.

        Args:
            front: The node, or a link to it.
        """
        self._front = front
        self.has_data = False
        self._sock: socket.socket | None = None
        self._buffer = b""

    @property
    def is_open(self) -> bool:
        """Whether the connection was opened, and not closed by the client."""
        return self._sock is not None

    async def connect(self) -> None:
        """Opens the connection."""
        self._buffer = b""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        async with asyncio.timeout(1.0):
            await asyncio.get_running_loop().sock_connect(
                self._sock, (self._front.ip, world.FRONT_PORT)
            )

    def close(self) -> None:
        """Closes the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def receive(self, seconds: float) -> Answer:
        """Reads an answer.

        Args:
            seconds: How long the client waits.
        """
        answer = Answer()
        self.has_data = bool(self._buffer)
        try:
            async with asyncio.timeout(seconds):
                await self._read_head(answer)
                await self._read_body(answer)
        except (OSError, EOFError, TimeoutError):
            return answer
        answer.is_complete = True
        return answer

    async def _read_head(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._buffer:
            self._buffer += await self._read(65536)
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, text = line.partition(":")
            answer.headers[name.lower()] = text.strip()

    async def _read_body(self, answer: Answer) -> None:
        length = int(answer.headers.get("content-length", 0))
        answer.body, self._buffer = (
            self._buffer[:length],
            self._buffer[length:],
        )
        while len(answer.body) < length:
            answer.body += await self._read(length - len(answer.body))

    async def _read(self, count: int) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(self._sock, count)
        if not data:
            raise EOFError("connection closed")
        self.has_data = True
        return data


async def request(
    node: world.Node, data: bytes, seconds: float
) -> tuple[Answer, Client]:
    """Sends a request on a new connection and reads the answer."""
    client = Client(node)
    try:
        await client.connect()
        await client.send(data)
    except (OSError, TimeoutError):
        return Answer(), client
    return await client.receive(seconds), client
