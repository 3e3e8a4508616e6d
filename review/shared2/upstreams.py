"""Stand-in upstreams, which speak HTTP/1.1 on plain sockets."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import time

from review.shared2 import world

REASONS = {
    200: "OK",
    409: "Conflict",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


@dataclasses.dataclass(slots=True)
class Request:
    """A request that an upstream has received.

    Attributes:
        method: Its method.
        path: Its path with the query.
        headers: Its headers, by their names in lower case.
        body: Its body; empty if the upstream doesn't read it.
        reader: What follows on its connection.
        writer: The connection.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        """ID that the client gave to the request."""
        return self.headers.get("jujubeyard-request-id", "")


@dataclasses.dataclass(slots=True)
class Reply:
    """An answer of an upstream.

    Attributes:
        body: Its body.
        status: Its status.
        headers: Further headers.
        cut_at: Number of bytes of the body after which the upstream closes the
            connection; None if it sends the body whole.
    """

    body: bytes = b""
    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    cut_at: int | None = None


Work = collections.abc.Callable[
    [Request], collections.abc.Coroutine[None, None, Reply]
]


class Upstream:
    """One upstream, with its entry in the store.

    Attributes:
        upstream_id: ID of the upstream.
        address: Address at which it accepts requests.
        born: Its start, in Unix milliseconds.
        state: State in its entry.
        is_listed: Whether it writes its entry.
    """

    def __init__(
        self,
        deployment: world.World,
        number: int,
        service: str,
        work: Work,
        slots: int = 3,
    ):
        """Initializes an upstream.

        Args:
            deployment: The deployment.
            number: Its number, from 0.
            service: Name of its service.
            work: Runs a request and returns the answer.
            slots: Requests that it processes at once.
        """
        self._deployment = deployment
        self._ip = f"{deployment.prefix}.{100 + number}"
        self.address = f"{self._ip}:{world.UPSTREAM_PORT}"
        self.upstream_id = f"i-{service}-{number}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_listed = True
        self._service = service
        self._slots = slots
        self._work = work
        self._running = 0
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Accepts connections, and writes the entry."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, world.UPSTREAM_PORT
        )
        self._heartbeat = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Stops accepting connections and writing the entry."""
        self._heartbeat.cancel()
        self._server.close()

    def abort_connections(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def make_entry(self) -> dict:
        """Returns the entry of the upstream."""
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": "a",
                "slots": self._slots,
            },
            "status": {"state": self.state, "seq": 1, "coldLeft": "0ms"},
        }

    def write_entry(self) -> None:
        """Writes the entry; the store keeps it if only `seq` has changed."""
        self._deployment.store.put(
            f"servers/{self.upstream_id}",
            json.dumps(self.make_entry()).encode(),
        )

    async def _beat(self) -> None:
        while True:
            if self.is_listed:
                self.write_entry()
            await asyncio.sleep(world.HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        """Serves a request; returns whether the connection is kept."""
        req = await read_request(reader, writer)
        if req.path == "/health":
            await self._send(req, Reply(), False)
            return True
        expected = req.headers.get("jujubeyard-expect-instance")
        if expected not in (None, self.upstream_id):
            await self._send(req, Reply(status=421), False)
            return True
        self._running += 1
        try:
            reply = await self._work(req)
        finally:
            self._running -= 1
        return await self._send(req, reply, reply.status == 200)

    async def _send(self, req: Request, reply: Reply, is_signed: bool) -> bool:
        headers = {
            "Content-Length": str(len(reply.body)),
            "Jujubeyard-Instance-Load": f"{self._running},0,{self._slots}",
            "Jujubeyard-Instance-Id": self.upstream_id,
        } | reply.headers
        if req.request_id:
            headers["Jujubeyard-Request-Id"] = req.request_id
        if is_signed:
            headers["Jujubeyard-Response-Signature"] = f"s.{req.request_id}"
        elif reply.status in (421, 503):
            headers["Jujubeyard-Not-Executed"] = "1"
        lines = [f"HTTP/1.1 {reply.status} {REASONS[reply.status]}"]
        lines += [f"{name}: {text}" for name, text in headers.items()]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        body = reply.body[: reply.cut_at]
        req.writer.write(head + body)
        await req.writer.drain()
        return reply.cut_at is None


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    """Reads a request with its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, text = line.partition(":")
        if separator:
            headers[name.lower()] = text.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    return Request(method, path, headers, body, reader, writer)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).partition(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]
