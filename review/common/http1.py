"""Small HTTP/1.1 reader and writer for stand-ins, on asyncio streams."""

import asyncio
import dataclasses

CHUNKED = "chunked"


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer.

    Attributes:
        first_line: Request line or status line.
        headers: Headers by their names in lower case.
        body: The body.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message; returns None at the end of the connection.

    Raises:
        asyncio.IncompleteReadError: The connection ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await _read_body(reader, headers)
    return Message(lines[0], headers, body)


async def _read_body(reader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == CHUNKED:
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_head(first_line: str, headers) -> bytes:
    """Returns the head of a message.

    Args:
        first_line: Request line or status line.
        headers: Pairs of names and values.
    """
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
