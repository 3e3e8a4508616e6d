"""Tests that requests and answers arrive byte for byte as they were sent."""

import asyncio
import dataclasses
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from jujubeyard.node import server
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.ownership import table
from jujubeyard.store import changes
from jujubeyard.targets import registry
from tests.node import test_forward
from tests.node import test_upstream
from tests.utils import processes

NAMES = test_upstream.NAMES
EXAMPLES = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
METHODS = (
    "GET HEAD POST PUT PATCH DELETE OPTIONS TRACE PROPFIND REPORT SEARCH "
    "PURGE LOCK MKCOL"
).split()
TOKEN = "abcxyzABCXYZ0189!#$%&'*+-.^_`|~"
PATH = "abzAZ09-._~!$&'()*+,;=:@/"
PERCENT = ["%00", "%2F", "%2f", "%3F", "%7E", "%C3%A9", "%25", "..", "//"]
HOP_BY_HOP = {
    b"connection",
    b"content-length",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"x-hop",
}
SET_BY_ROUTER = {b"x-deadline", b"x-expected"}
KNOWN_NAMES = (
    "Accept accept-encoding Cookie cookie CACHE-CONTROL content-type Via "
    "Content-Language Authorization user-agent Range date Server set-cookie "
    "Set-Cookie ETag X-Forwarded-For Origin If-Match Proxy-Authorization"
).split()
SINGLE_NAMES = {
    b"authorization",
    b"content-encoding",
    b"content-type",
    b"date",
    b"etag",
    b"host",
    b"if-match",
    b"origin",
    b"proxy-authorization",
    b"range",
    b"server",
    b"user-agent",
}
"""Fields that RFC 9110 allows once."""

NAMES_TO_SEND = strategies.sampled_from(KNOWN_NAMES) | strategies.builds(
    "x-{}".format, strategies.text(TOKEN, max_size=5)
).filter(lambda name: name.lower().encode() not in HOP_BY_HOP)
VALUES = strategies.builds(
    bytes.strip,
    strategies.lists(
        strategies.sampled_from(
            [*range(0x21, 0x7F), 0x20, 0x09, 0x80, 0xC3, 0xA9, 0xE9, 0xFF]
        ),
        max_size=12,
    ).map(bytes),
)
FIELDS = strategies.lists(
    strategies.tuples(NAMES_TO_SEND.map(str.encode), VALUES),
    max_size=6,
    unique_by=lambda field: (
        field[0].lower() if field[0].lower() in SINGLE_NAMES else object()
    ),
)
HOPS = strategies.lists(
    strategies.sampled_from(
        [
            (b"Connection", b"x-hop, keep-alive"),
            (b"connection", b"X-Hop"),
            (b"x-hop", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"TE", b"trailers"),
            (b"Proxy-Connection", b"keep-alive"),
        ]
    ),
    max_size=3,
)
QUERIES = strategies.none() | strategies.text(PATH + "?", max_size=8)
PATHS = strategies.lists(
    strategies.text(PATH, max_size=4) | strategies.sampled_from(PERCENT),
    max_size=4,
).map("".join)
BODIES = strategies.binary(max_size=300)
FRAMINGS = strategies.sampled_from(["length", "chunks", "extended chunks"])
STATUSES = strategies.sampled_from(
    [200, 201, 203, 204, 206, 299, 301, 304, 400, 404, 409, 418, 451]
)


@dataclasses.dataclass(frozen=True)
class Message:
    start_line: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes

    def end_to_end(self, left_out=frozenset()):
        return [
            (name, text)
            for name, text in self.fields
            if name.lower() not in HOP_BY_HOP | left_out
        ]


@strategies.composite
def _requests(draw, prefix):
    query = draw(QUERIES)
    target = prefix + draw(PATHS) + ("" if query is None else f"?{query}")
    method = draw(strategies.sampled_from(METHODS))
    body = b"" if method == "TRACE" else draw(strategies.just(b"") | BODIES)
    fields = [(b"Host", b"a.example"), (b"X-Call", b"?"), (b"X-Key", b"7")]
    fields += draw(FIELDS) + draw(HOPS)
    encodings = strategies.sampled_from([b"gzip", b"x-odd, br", None])
    encoding = draw(encodings) if body else None
    if encoding:
        fields.append((b"content-encoding", encoding))
    fields = draw(strategies.permutations(fields))
    start_line = f"{method} {target} HTTP/1.1".encode()
    return Message(start_line, fields, body)


@strategies.composite
def _answers(draw):
    status = draw(STATUSES)
    fields = [(b"x-call", b"?"), (b"X-Signature", b"s")]
    fields = draw(strategies.permutations(fields + draw(FIELDS) + draw(HOPS)))
    body = b"" if status in (204, 304) else draw(BODIES)
    return Message(f"HTTP/1.1 {status} Any Reason".encode(), fields, body)


def _encode(message, framing, call_id, has_body=True):
    fields = [
        (name, call_id if name.lower() == b"x-call" else text)
        for name, text in message.fields
    ]
    body = message.body
    if framing == "length" and (body or has_body):
        fields.append((b"Content-Length", b"%d" % len(body)))
    elif framing != "close" and has_body:
        fields.append((b"transfer-encoding", b"Chunked"))
        body = _encode_chunks(body, framing)
    lines = [message.start_line, *(b"%s: %s" % field for field in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body if has_body else b"")


def _encode_chunks(body, framing):
    extension = b';a="b"' if framing == "extended chunks" else b""
    chunks = [body[start : start + 7] for start in range(0, len(body), 7)]
    data = b"".join(
        b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )
    return data + b"0\r\n\r\n"


async def _read(reader, has_body=True):
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    fields = [tuple(line.split(b": ", 1)) for line in lines]
    values = {name.lower(): text for name, text in fields}
    body = b""
    if not has_body or start_line.split(b" ")[1] in (b"204", b"304"):
        return Message(start_line, fields, body)
    if b"transfer-encoding" in values:
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(values.get(b"content-length", 0)))
    return Message(start_line, fields, body)


class Target:
    """Answers as prescribed, and keeps the requests."""

    def __init__(self):
        self.script = []
        self.requests = []

    async def serve(self, reader, writer):
        try:
            while True:
                self.requests.append(await _read(reader))
                answer, closes = self.script.pop(0)
                writer.write(answer)
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class Path:
    """The way of a call: a server for callers, a forwarder, one target."""

    def __init__(self):
        self.numbers = itertools.count()
        self.target = Target()

    async def open(self):
        self.client = upstream.UpstreamClient(NAMES)
        self.listener = await asyncio.start_server(
            self.target.serve, "127.0.0.1", 0
        )
        self.address = settings.parse_address(processes.make_address())
        self.server = server.CallerServer(
            self.serve,
            NAMES,
            None,
            lambda call: False,
        )
        await self.server.start(self.address)

    async def close(self):
        await self.server.stop_listening()
        self.server.close_idle_connections()
        await self.client.close()
        self.listener.close()

    def reset(self):
        """Forgets what was learned from the calls before."""
        harness = test_forward.Harness()
        harness.forwarder._client = self.client
        self.forwarder = harness.forwarder
        host, port = self.listener.sockets[0].getsockname()
        for name, service in (("t1", "pool"), ("t2", "pool"), ("t3", "desk")):
            listing = registry.Listing(
                name, service, f"{host}:{port}", "z1", 6, False, 0.0, 1
            )
            harness.view._apply(changes.TargetListed(listing))
        owner = table.Owner("t3", 1, f"{host}:{port}")
        shard = table.Shard(0, 65535, owner, 1, "")
        harness.view.apply_table(table.ShardTable("desk", (shard,), 1))
        self.target.requests.clear()

    async def serve(self, call):
        return await self.forwarder.serve(call)

    async def call(self, request, framing, answer, answer_framing, refusals):
        self.reset()
        call_id = b"c%d" % next(self.numbers)
        refusal = b"HTTP/1.1 503 No\r\nX-Call: %s\r\nX-Not-Run: 1\r\n"
        refusal = (refusal + b"Content-Length: 0\r\n\r\n") % call_id
        is_head = request.start_line.startswith(b"HEAD ")
        has_body = not is_head and answer.start_line[9:12] not in (
            b"204",
            b"304",
        )
        data = _encode(answer, answer_framing, call_id, has_body)
        self.target.script = [(refusal, False)] * refusals
        self.target.script.append((data, answer_framing == "close"))
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        try:
            has_framing = bool(request.body) or framing != "length"
            writer.write(_encode(request, framing, call_id, has_framing))
            async with asyncio.timeout(5.0):
                return call_id, await _read(reader, not is_head)
        finally:
            writer.close()


@pytest.fixture(scope="module")
def path():
    with asyncio.Runner() as runner:
        created = Path()
        created.run = runner.run
        runner.run(created.open())
        yield created
        runner.run(created.close())


def _with_id(fields, call_id):
    return [
        (name, call_id if name.lower() == b"x-call" else text)
        for name, text in fields
    ]


@pytest.mark.parametrize(
    ("prefix", "refusals"),
    [
        pytest.param("/read/", 0, id="first attempt"),
        pytest.param("/read/", 1, id="second attempt"),
        pytest.param("/order/", 0, id="not idempotent"),
        pytest.param("/lookup/", 0, id="keyed"),
    ],
)
@EXAMPLES
@hypothesis.given(data=strategies.data())
def test_messages_arrive_as_they_were_sent(path, prefix, refusals, data):
    request = data.draw(_requests(prefix))
    answer = data.draw(_answers())
    framing, answer_framing = data.draw(FRAMINGS), data.draw(FRAMINGS)
    if data.draw(strategies.integers(0, 3)) == 0:
        answer_framing = "close"
    call_id, received = path.run(
        path.call(request, framing, answer, answer_framing, refusals)
    )
    assert len(path.target.requests) == refusals + 1
    for arrived in path.target.requests:
        assert arrived.start_line == request.start_line
        assert arrived.end_to_end(SET_BY_ROUTER) == _with_id(
            request.end_to_end(), call_id
        )
        assert arrived.body == request.body
    assert received.start_line[9:12] == answer.start_line[9:12]
    sent = _with_id(answer.end_to_end(), call_id)
    has_date = any(name.lower() == b"date" for name, _ in sent)
    added = frozenset() if has_date else {b"date"}
    assert received.end_to_end(added) == sent
    if not request.start_line.startswith(b"HEAD "):
        assert received.body == answer.body


REQUEST = Message(
    b"GET /read/1 HTTP/1.1",
    [(b"host", b"a.example"), (b"X-call", b"?")],
    b"",
)
ANSWER = Message(
    b"HTTP/1.1 200 OK", [(b"x-call", b"?"), (b"X-Signature", b"s")], b"ok"
)


@pytest.mark.parametrize(
    "fields",
    [
        [(b"X-A", b"1"), (b"x-a", b"2"), (b"X-A", b"3")],
        [(b"x-a", b"caf\xe9 \xff"), (b"X-B", "é".encode())],
        [(b"x-a", b"a" * 9000)],
        [(b"x-a", b"")],
        [(b"content-type", b"a/b"), (b"user-agent", b"")],
        [(b"Connection", b"Host, X-Call, x-signature")],
        [(b"x-a", b"%d" % number) for number in range(120)],
    ],
    ids=["repeated", "bytes", "long", "empty", "known", "needed", "many"],
)
def test_fields_arrive_as_they_were_sent(path, fields):
    request = dataclasses.replace(REQUEST, fields=REQUEST.fields + fields)
    answer = dataclasses.replace(ANSWER, fields=ANSWER.fields + fields)
    call_id, received = path.run(
        path.call(request, "length", answer, "length", 0)
    )
    (arrived,) = path.target.requests
    assert arrived.start_line == request.start_line
    sent = _with_id(request.end_to_end(), call_id)
    assert arrived.end_to_end(SET_BY_ROUTER) == sent
    sent = _with_id(answer.end_to_end(), call_id)
    assert received.end_to_end({b"date"}) == sent


@pytest.mark.parametrize(
    ("target", "arriving", "host"),
    [
        (b"http://A.example:80/read/1?a", b"/read/1?a", b"A.example:80"),
        (b"HTTP://a.example/read/?", b"/read/?", b"a.example"),
        (b"/read/1?", b"/read/1?", b"a.example"),
        (b"/read/../a//b?c?#", b"/read/../a//b?c?#", b"a.example"),
        (b"http://b.example/read/1", None, b"b.example"),
    ],
)
def test_path_query_and_host_of_a_request_target(path, target, arriving, host):
    is_absolute = not target.startswith(b"/")
    stated_host = b"host.example" if is_absolute else host
    fields = [(b"Host", stated_host), (b"X-Call", b"?")]
    request = Message(b"GET %s HTTP/1.1" % target, fields, b"")
    _, received = path.run(path.call(request, "length", ANSWER, "length", 0))
    if arriving is None:
        assert received.start_line.startswith(b"HTTP/1.1 404")
        return
    (arrived,) = path.target.requests
    assert arrived.start_line == b"GET %s HTTP/1.1" % arriving
    assert dict(arrived.fields)[b"Host"] == host


def test_length_of_a_body_that_is_not_sent_arrives(path):
    request = dataclasses.replace(REQUEST, start_line=b"HEAD /read/1 HTTP/1.1")
    length = (b"Content-Length", b"30000000")
    answer = Message(ANSWER.start_line, [*ANSWER.fields, length], b"")
    _, received = path.run(path.call(request, "length", answer, "none", 0))
    assert length in received.fields
