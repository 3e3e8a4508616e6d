"""Prints the peak memory of a node's call path with many slow or faulty peers.

python -m bench.peak [--peers 200] [--size 360000] [--rate 10000]
    [--memory_mb 160]

Each scenario runs in a process of its own, with callers and targets in this
one: uploads that targets read slowly, answers that callers read slowly, and
faults on every connection at once. The kernel's buffers of the process are kept
small, as they would hide what the process holds.
"""

import asyncio
import contextlib
import dataclasses
import io
import itertools
import logging
import socket
import subprocess
import sys

import fire

from bench import procfs
from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard import connections
from jujubeyard import memory
from jujubeyard.node import calls
from jujubeyard.node import core
from jujubeyard.node import journal
from jujubeyard.node import server
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.platform import headers

SOCKET_BUFFER_BYTES = 16 * 1024
SEGMENT_BYTES = 1448
READ_LIMIT_BYTES = 2048
TARGETS = 40
BLOCK = b"x" * 65536
TICK_SECONDS = 0.1
DEADLINE_MS = 120_000
FAULT_SECONDS = 10.0
NAMES = headers.NAMES
REQUEST_FAULTS = (
    (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + BLOCK + b"\r\n"),
    (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 9999),
    (b"Content-Length: 99999999\r\n\r\n", BLOCK),
    (b"", b"X-More: y\r\n" * 6000),
    (b"X-Long: ", BLOCK),
    (b"Content-Length: 99999999\r\n\r\n", b""),
)
"""What faulty callers send after the first lines, once and without end."""

ANSWER_FAULTS = (
    (b"\r\n", BLOCK),
    (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + BLOCK + b"\r\n"),
    (b"Content-Length: 7999999\r\n\r\n", BLOCK),
    (b"X-Long: ", BLOCK),
    (b"Content-Length: 99\r\n\r\n", b""),
)


@dataclasses.dataclass
class Result:
    """Figures of one scenario.

    Attributes:
        statuses: Status of each answer that was read whole; 0 for others.
        idle_bytes: Memory of the process before the first call.
        peak_bytes: Largest memory that the process has had.
    """

    statuses: list[int]
    idle_bytes: int
    peak_bytes: int


class Peers:
    """The targets and callers of a scenario."""

    def __init__(self, size: int, rate: int):
        self.size = size
        self.rate = rate
        self.is_faulty = False
        self.answer_bytes = 2
        self._faults = itertools.cycle(ANSWER_FAULTS)

    async def serve(self, reader, writer) -> None:
        """Answers one call as a target."""
        writer.transport.max_size = READ_LIMIT_BYTES
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readuntil(b"\r\n\r\n")
            call_id = _find_header(head, NAMES.call_id)
            start = (
                f"HTTP/1.1 200 OK\r\n{NAMES.call_id}: {call_id}\r\n"
                f"{NAMES.signature}: s\r\n"
            ).encode()
            if self.is_faulty:
                more, repeated = next(self._faults)
                await _send_without_end(writer, start + more, repeated)
            length = int(_find_header(head, "Content-Length") or 0)
            await self._read_slowly(reader, length)
            writer.write(
                start + b"Content-Length: %d\r\n\r\n" % self.answer_bytes
            )
            writer.write(b"x" * self.answer_bytes)
            await writer.drain()
        writer.close()

    async def _read_slowly(self, reader, count: int) -> None:
        block_bytes = int(self.rate * TICK_SECONDS)
        while count > 0:
            count -= len(await reader.readexactly(min(count, block_bytes)))
            await asyncio.sleep(TICK_SECONDS)

    async def call(self, address: str, number: int, body: bytes) -> int:
        """Sends a call, reads its answer slowly and returns its status."""
        reader, writer = await _connect(address)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            writer.write(_make_head(number))
            writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(_find_header(head, "Content-Length"))
            await self._read_slowly(reader, length)
            return int(head[9:12])
        return 0

    async def call_with_fault(self, address: str, number: int) -> int:
        """Sends a call without end, or half of one."""
        _, writer = await _connect(address)
        with contextlib.suppress(OSError, TimeoutError):
            more, repeated = REQUEST_FAULTS[number % len(REQUEST_FAULTS)]
            start = _make_head(number) + more
            if number % 2:
                start = _make_head(number) + b"\r\n"
                repeated = b""
            async with asyncio.timeout(FAULT_SECONDS):
                await _send_without_end(writer, start, repeated)
        writer.transport.abort()
        return 0


async def _connect(address: str):
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    _limit_buffer(sock)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=READ_LIMIT_BYTES)


def _limit_buffer(sock: socket.socket) -> None:
    """Limits what the kernel takes in, with segments that fit into it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


async def _send_without_end(writer, start: bytes, repeated: bytes) -> None:
    writer.write(start)
    while True:
        writer.write(repeated)
        await writer.drain()
        await asyncio.sleep(0 if repeated else TICK_SECONDS)


def _make_head(number: int) -> bytes:
    return (
        f"POST /x/{number} HTTP/1.1\r\nHost: a.example\r\n"
        f"{NAMES.call_id}: c{number}\r\n{NAMES.deadline}: {DEADLINE_MS}\r\n"
    ).encode()


def _find_header(head: bytes, name: str) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        found, _, text = line.partition(": ")
        if found.lower() == name.lower():
            return text
    return ""


async def _run_scenario(name: str, peers: Peers, count: int, memory_mb: int):
    """Runs the calls of a scenario against a process of its own."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for _ in range(TARGETS):
            sock = socket.create_server(("127.0.0.1", 0))
            _limit_buffer(sock)
            target = await asyncio.start_server(
                peers.serve, sock=sock, limit=READ_LIMIT_BYTES
            )
            stack.callback(target.close)
            addresses.append(str(settings.Address(*sock.getsockname())))
        process = subprocess.Popen(
            [
                *(sys.executable, "-m", "bench.peak", "serve"),
                *(str(memory_mb), ",".join(addresses)),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        stack.callback(process.wait)
        stack.callback(process.terminate)
        address = await asyncio.to_thread(process.stdout.readline)
        idle_bytes = procfs.resident_bytes(process.pid)
        body = b"x" * peers.size if name == "uploads" else b""
        statuses = await asyncio.gather(
            *(
                peers.call_with_fault(address.strip(), number)
                if peers.is_faulty
                else peers.call(address.strip(), number, body)
                for number in range(count)
            )
        )
        peak_bytes = procfs.peak_bytes(process.pid)
        return Result(statuses, idle_bytes, peak_bytes)


def _print_result(name: str, result: Result) -> None:
    answered = result.statuses.count(200)
    refused = result.statuses.count(429)
    other = len(result.statuses) - answered - refused
    print(
        f"{name:8} answered {answered:4} refused {refused:4} other {other:4}  "
        f"idle {result.idle_bytes / bodies.MIB:6.1f} MiB  "
        f"peak {result.peak_bytes / bodies.MIB:6.1f} MiB",
        flush=True,
    )


def run(
    peers: int = 200,
    size: int = 360_000,
    rate: int = 10_000,
    memory_mb: int = 160,
) -> None:
    """Runs all scenarios.

    Args:
        peers: Number of calls at once.
        size: Size of each large body, in bytes.
        rate: How fast peers read, in bytes per second.
        memory_mb: Memory of the VM, in MB.
    """
    for name in ("uploads", "answers", "faults"):
        scenario = Peers(size, rate)
        scenario.is_faulty = name == "faults"
        if name == "answers":
            scenario.answer_bytes = size
        result = asyncio.run(_run_scenario(name, scenario, peers, memory_mb))
        _print_result(name, result)


class CallPath:
    """A node's server and client, without its decisions."""

    def __init__(self, memory_mb: int, targets: list[str]):
        self._targets = itertools.cycle(targets)
        share = core.PEERS_MEMORY_SHARE * settings.BYTES_PER_MB
        budget = memory.MemoryBudget(int(share * memory_mb))
        self._client = upstream.UpstreamClient(NAMES, budget)
        self.server = server.CallerServer(
            self._serve,
            NAMES,
            journal.Journal(io.StringIO(), "peak"),
            lambda call: False,
            budget,
        )

    async def _serve(self, call: calls.Call) -> calls.Reply:
        result = await self._client.send(
            upstream.OutgoingCall(
                next(self._targets),
                call.method,
                call.path,
                [("Host", call.host), (NAMES.call_id, call.call_id)],
                call.body,
                call.call_id,
                call.timeout_seconds,
                False,
                call.stream,
            )
        )
        if result.answer is None:
            return calls.make_error_reply(codes.ResultCode.OUTCOME_UNKNOWN)
        answer = result.answer
        return calls.Reply(
            codes.ResultCode.OK,
            answer.status,
            answer.headers,
            answer.body,
            stream=answer.stream,
        )


def serve(memory_mb: int, targets: str) -> None:
    """Forwards calls to targets until the process is terminated.

    Args:
        memory_mb: Memory of the VM, in MB.
        targets: Addresses of the targets, separated by commas.
    """
    logging.disable()
    limit_receive_buffer = connections.limit_receive_buffer

    def limit_buffers(sock: socket.socket) -> None:
        limit_receive_buffer(sock)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )

    connections.limit_receive_buffer = limit_buffers
    addresses = targets if isinstance(targets, tuple) else targets.split(",")
    asyncio.run(_serve_forever(memory_mb, list(addresses)))


async def _serve_forever(memory_mb: int, targets: list[str]) -> None:
    path = CallPath(memory_mb, targets)
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = settings.Address(*sock.getsockname())
    await path.server.start(address)
    print(address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        fire.Fire({"serve": serve})
    else:
        fire.Fire(run)
