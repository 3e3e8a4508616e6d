"""Reads and writes the heads of HTTP messages exactly as they were sent.

`aiohttp` spells known field names its own way, drops bytes that aren't UTF-8,
and adds fields. What is passed on between callers and targets has to arrive as
it was sent; only the framing belongs to a single connection.
"""

import asyncio
import collections.abc
import re

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
from aiohttp import http_writer
from aiohttp import web
import multidict

ENCODING = "utf-8"
ENCODING_ERRORS = "surrogateescape"
"""Any bytes are decoded, and encoded to the same bytes."""

HEAD_FIELD = ":head"
"""Pseudo header, no valid field name, that bears the head of a request."""

FRAMING_FIELDS = (
    hdrs.CONTENT_LENGTH,
    hdrs.TRANSFER_ENCODING,
    hdrs.CONNECTION,
    hdrs.EXPECT,
)
"""Fields that a connection adds to the head of a request."""

_FORBIDDEN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

RawFields = collections.abc.Iterable[tuple[bytes, bytes]]
Fields = collections.abc.Iterable[tuple[str, str]]


def decode_fields(raw_fields: RawFields) -> multidict.CIMultiDict[str]:
    """Returns received fields in their order and with their spelling.

    Args:
        raw_fields: Names and values as received.

    Raises:
        ValueError: A field has a control character.
    """
    fields = multidict.CIMultiDict()
    for name, text in raw_fields:
        fields.add(
            _check(name.decode(ENCODING, ENCODING_ERRORS)),
            _check(text.decode(ENCODING, ENCODING_ERRORS)),
        )
    return fields


def format_head(start_line: str, fields: Fields) -> str:
    """Returns the head of a message, without the empty line that ends it.

    Args:
        start_line: Its first line.
        fields: Names and values.

    Raises:
        ValueError: A line has a control character.
    """
    lines = [_check(start_line)]
    lines += [f"{_check(name)}: {_check(text)}" for name, text in fields]
    return "\r\n".join(lines) + "\r\n"


def _check(text: str) -> str:
    if _FORBIDDEN.search(text) is not None:
        raise ValueError("control character in the head of a message")
    return text


def _encode(head: str) -> bytes:
    """Returns the bytes of a head with the empty line that ends it."""
    return f"{head}\r\n".encode(ENCODING, ENCODING_ERRORS)


def split_target(target: str, host: str) -> tuple[str, str]:
    """Returns the host and the path, with the query, of a request.

    Args:
        target: The request target. In absolute form it names the host.
        host: The Host header.
    """
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return host, target
    authority = re.split("[/?]", rest, maxsplit=1)[0]
    path = rest.removeprefix(authority)
    return authority, path if path.startswith("/") else f"/{path}"


class _RequestWriter(http_writer.StreamWriter):
    """Writes a given head, to which it adds the framing."""

    def __init__(
        self,
        head: str,
        protocol: client_proto.ResponseHandler,
        loop: asyncio.AbstractEventLoop,
    ):
        super().__init__(protocol, loop)
        self._head = head

    async def write_headers(
        self, status_line: str, headers: multidict.CIMultiDict[str]
    ) -> None:
        """Keeps the head until the beginning of the body is written."""
        framing = "".join(
            f"{name}: {headers[name]}\r\n"
            for name in FRAMING_FIELDS
            if name in headers
        )
        self._headers_written = False
        self._headers_buf = _encode(self._head + framing)


class Request(aiohttp.ClientRequest):
    """Request whose head may be given whole, in the pseudo header."""

    def update_headers(self, headers) -> None:
        """Takes the head out of the headers."""
        super().update_headers(headers)
        self._head: str | None = self.headers.pop(HEAD_FIELD, None)

    async def send(self, conn: aiohttp.connector.Connection):
        """Writes the request, and returns the response that will be read."""
        if self._head is None:
            return await super().send(conn)
        writer = _RequestWriter(self._head, conn.protocol, self.loop)
        if self.chunked is not None:
            writer.enable_chunking()
        if conn._connector.force_close:
            self.headers[hdrs.CONNECTION] = "close"
        await writer.write_headers("", self.headers)
        self.response = self.response_class(
            self.method,
            self.original_url,
            writer=self._start_body(writer, conn),
            continue100=self._continue,
            timer=self._timer,
            request_info=self.request_info,
            traces=self._traces,
            loop=self.loop,
            session=self._session,
            stream_writer=writer,
        )
        return self.response

    def _start_body(
        self, writer: _RequestWriter, conn: aiohttp.connector.Connection
    ) -> asyncio.Task | None:
        """Returns the task that writes the body; None if nothing is left."""
        protocol = conn.protocol
        is_waiting = self._continue is not None or protocol.writing_paused
        if not self._body and not is_waiting:
            protocol.start_timeout()
            writer.set_eof()
            return None
        length = self._get_content_length()
        task = self.loop.create_task(self.write_bytes(writer, conn, length))
        self._writer = task
        return task


class Response(web.Response):
    """Response with no other fields than its own and those of framing."""

    async def _prepare_headers(self) -> None:
        """Adds the fields of the connection, and the date if it is missing."""
        added = {hdrs.CONTENT_TYPE, hdrs.SERVER} - self.headers.keys()
        await super()._prepare_headers()
        for name in added:
            self.headers.popall(name, None)

    async def _write_headers(self) -> None:
        """Writes the head, or keeps it until the body is written."""
        version = self._req.version
        start_line = (
            f"HTTP/{version.major}.{version.minor} {self.status} {self.reason}"
        )
        writer = self._payload_writer
        writer._headers_written = False
        writer._headers_buf = _encode(
            format_head(start_line, self.headers.items())
        )
        if self._send_headers_immediately:
            writer.send_headers()
