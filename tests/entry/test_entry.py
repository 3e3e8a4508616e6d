"""Tests an entry with real HTTP callers and a gate with scripted replies."""

import asyncio
import contextlib

import pytest

from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard import settings
from jujubeyard.entry import core
from jujubeyard.entry import entry
from jujubeyard.link import messages
from jujubeyard.load import generator
from jujubeyard.plan import codec
from jujubeyard.plan import planner
from jujubeyard.plan import tables
from jujubeyard.store import records
from tests.utils import builders
from tests.utils import processes
from tests.utils import slow_callers

Code = codes.ResultCode


def make_reply(query: int, code: Code, body: bytes = b"") -> messages.CallReply:
    status = 200 if code is Code.OK else 0
    return messages.CallReply(query, int(code), status, "", body, "t", 1, 0)


class ScriptedGate:
    """Answers calls with the codes of a script, repeating the last one.

    None closes the link without a reply; "silent" sends no reply.
    """

    def __init__(self, script):
        self.script = list(script)
        self.answer_body: bytes | None = None
        self.calls: list[messages.Call] = []
        self.peer = None

    def handle(self, peer, message) -> None:
        if not isinstance(message, messages.Call):
            return
        self.calls.append(message)
        self.peer = peer
        action = self.script[min(len(self.calls), len(self.script)) - 1]
        if action is None:
            peer.close()
        elif action != "silent":
            body = self.answer_body or message.body
            peer.send(make_reply(message.query, action, body))


def make_controller_handler(manifest: dict, gate_address: str):
    config = records.ConfigRecord(1, manifest, [], [], {}, [])
    state = builders.make_cluster_state(
        builders.make_config(manifest), [builders.make_gate("vm0")]
    )
    plan = planner.make_plan(tables.Plan(), state)
    for row in plan.gates.values():
        row.address = gate_address

    def handle(peer, message) -> None:
        if isinstance(message, messages.Subscribe):
            peer.send(messages.ConfigPush(1, config.encode()))
            peer.send(messages.PlanPush(1, codec.encode_plan(plan)))

    return handle


@contextlib.asynccontextmanager
async def running_entry(script, keyed: bool = True, max_body: int = 1000):
    gate = ScriptedGate(script)
    manifest = builders.make_manifest(keyed=keyed)
    async with processes.FakePeer("gate", gate.handle) as fake:
        handle = make_controller_handler(manifest, fake.address)
        async with processes.FakePeer("controller", handle) as controller:
            cfg = settings.EntrySettings(
                **processes.make_settings(),
                controllers=[controller.address],
                max_body_bytes=max_body,
            )
            async with processes.serving(core.serve, cfg):
                await processes.wait_for(lambda: fake.links)
                yield cfg.listen, gate


READ_HEADERS = {"X_Kind": "read", "X_Key": "k"}


def make_write_headers() -> dict[str, str]:
    return {
        "X_Kind": "write",
        "X_Key": "k",
        "X_Request_Id": generator.make_request_id(),
    }


SCRIPTS = {
    "answered": ("read", [Code.OK], Code.OK, 1),
    "moved, then answered": ("write", [Code.MOVED, Code.OK], Code.OK, 2),
    "not ready, then answered": (
        "write",
        [Code.NOT_READY, Code.NOT_READY, Code.OK],
        Code.OK,
        3,
    ),
    "refused": ("write", [Code.OVERLOADED], Code.OVERLOADED, 1),
    "idempotent call sent again": (
        "read",
        [Code.OUTCOME_UNKNOWN, Code.OK],
        Code.OK,
        2,
    ),
    "non-repeatable call not sent again": (
        "write",
        [Code.OUTCOME_UNKNOWN, Code.OK],
        Code.OUTCOME_UNKNOWN,
        1,
    ),
    "non-repeatable call on a broken link": (
        "write",
        [None, Code.OK],
        Code.OUTCOME_UNKNOWN,
        1,
    ),
    "idempotent call on a broken link": ("read", [None, Code.OK], Code.OK, 2),
    "refusal after an attempt that may have run": (
        "read",
        [Code.OUTCOME_UNKNOWN, Code.OVERLOADED],
        Code.OUTCOME_UNKNOWN,
        2,
    ),
}


@pytest.mark.parametrize("name", SCRIPTS)
async def test_entry_retries_by_result_code(name):
    kind, script, expected, expected_sends = SCRIPTS[name]
    headers = READ_HEADERS if kind == "read" else make_write_headers()
    async with running_entry(script) as (address, gate):
        _, code, not_run, _ = await processes.call(
            address, "/desk/x", b"data", **headers
        )
    assert code == expected
    assert not_run == codes.CODE_INFO[expected].not_run
    assert len(gate.calls) == expected_sends


async def test_deadline_after_reroutes_is_reported_as_not_run():
    async with running_entry([Code.MOVED]) as (address, _):
        _, code, not_run, _ = await processes.call(
            address, "/desk/x", X_Deadline_Ms="200", **READ_HEADERS
        )
    assert (code, not_run) == (Code.DEADLINE_UNREACHABLE, True)


async def test_deadline_of_running_call_is_not_reported_as_not_run():
    async with running_entry(["silent"]) as (address, _):
        _, code, not_run, _ = await processes.call(
            address, "/desk/x", X_Deadline_Ms="150", **make_write_headers()
        )
    assert (code, not_run) == (Code.DEADLINE_EXCEEDED, False)


async def test_retry_budget_limits_retries():
    calls = 60
    async with running_entry([Code.OUTCOME_UNKNOWN]) as (address, gate):
        for _ in range(calls):
            await processes.call(
                address, "/desk/x", X_Deadline_Ms="1000", **READ_HEADERS
            )
    assert len(gate.calls) <= calls * 1.1 + 10


async def test_out_of_order_replies_reach_their_callers():
    """Guards against matching replies to callers by order.

    The gate replies to concurrent calls in reverse order.
    """
    sent_bodies = [f"body-{n}".encode() for n in range(8)]
    async with running_entry(["silent"]) as (address, gate):
        tasks = [
            asyncio.create_task(
                processes.call(address, "/desk/x", body, **READ_HEADERS)
            )
            for body in sent_bodies
        ]
        await processes.wait_for(lambda: len(gate.calls) == len(sent_bodies))
        for call in reversed(gate.calls):
            gate.peer.send(make_reply(call.query, Code.OK, call.body))
        answers = await asyncio.gather(*tasks)
    assert [answer[3] for answer in answers] == sent_bodies


BAD_REQUESTS = {
    "unknown service": (
        "/none/x",
        READ_HEADERS,
        "POST",
        b"",
        Code.UNKNOWN_SERVICE,
    ),
    "no service": ("/", READ_HEADERS, "POST", b"", Code.UNKNOWN_SERVICE),
    "unknown kind": (
        "/desk/x",
        {"X_Kind": "dance", "X_Key": "k"},
        "POST",
        b"",
        Code.UNKNOWN_KIND,
    ),
    "no kind": ("/desk/x", {"X_Key": "k"}, "POST", b"", Code.UNKNOWN_KIND),
    "no key": ("/desk/x", {"X_Kind": "read"}, "POST", b"", Code.MISSING_KEY),
    "no request id": (
        "/desk/x",
        {"X_Kind": "write", "X_Key": "k"},
        "POST",
        b"",
        Code.MISSING_REQUEST_ID,
    ),
    "non-repeatable kind by a repeatable method": (
        "/desk/x",
        {"X_Kind": "write", "X_Key": "k", "X_Request_Id": "r"},
        "PUT",
        b"",
        Code.BAD_REQUEST,
    ),
    "oversize body": (
        "/desk/x",
        READ_HEADERS,
        "POST",
        b"x" * 1001,
        Code.BODY_TOO_LARGE,
    ),
    "deadline past": (
        "/desk/x",
        {**READ_HEADERS, "X_Deadline_Ms": "0"},
        "POST",
        b"",
        Code.DEADLINE_PAST,
    ),
    "deadline no number": (
        "/desk/x",
        {**READ_HEADERS, "X_Deadline_Ms": "soon"},
        "POST",
        b"",
        Code.BAD_REQUEST,
    ),
    "deadline not finite": (
        "/desk/x",
        {**READ_HEADERS, "X_Deadline_Ms": "nan"},
        "POST",
        b"",
        Code.BAD_REQUEST,
    ),
    "oversize key": (
        "/desk/x",
        {"X_Kind": "read", "X_Key": "k" * 2000},
        "POST",
        b"",
        Code.BAD_REQUEST,
    ),
}


async def test_bad_requests_are_refused_with_their_result_code():
    async with running_entry([Code.OK]) as (address, gate):
        for name, row in BAD_REQUESTS.items():
            path, headers, method, body, expected = row
            status, code, not_run, _ = await processes.call(
                address, path, body, method, **headers
            )
            info = codes.CODE_INFO[expected]
            assert (code, status) == (expected, info.http_status), name
            assert not_run is True, name
        assert gate.calls == []
        assert (await processes.call(address, "/desk/x", **READ_HEADERS))[
            1
        ] == Code.OK


async def test_bodies_of_many_callers_share_a_memory_limit():
    size = 1024 * 1024
    request = (
        b"POST /desk/x HTTP/1.1\r\nHost: a\r\nX-Kind: read\r\nX-Key: k\r\n"
        b"Content-Length: %d\r\n\r\n"
    ) % size
    async with running_entry([Code.OK], max_body=size) as (address, gate):
        host, _, port = address.partition(":")
        conns = [await asyncio.open_connection(host, port) for _ in range(60)]
        for _, writer in conns:
            writer.write(request + b"x" * (size - 1))
        heads = [asyncio.create_task(reader.readline()) for reader, _ in conns]
        await asyncio.wait(heads, timeout=2.0)
        answers = {head.result() for head in heads if head.done()}
        for head in heads:
            head.cancel()
        for _, writer in conns:
            writer.close()
    assert answers == {b"HTTP/1.1 429 Too Many Requests\r\n"}
    assert gate.calls == []


async def test_bodies_of_calls_in_progress_share_the_memory_limit():
    body = b"x" * bodies.MIB
    async with running_entry(["silent"], max_body=len(body)) as (address, gate):
        answers = [
            asyncio.create_task(
                processes.call(address, "/desk/x", body, **READ_HEADERS)
            )
            for _ in range(60)
        ]
        await asyncio.sleep(1.0)
        held_bytes = sum(len(call.body) for call in gate.calls)
        assert 0 < held_bytes <= entry.MAX_BUFFERED_BYTES
        statuses = {answer.result()[0] for answer in answers if answer.done()}
        assert statuses == {429}
        for answer in answers:
            answer.cancel()


async def test_answers_of_slow_callers_are_given_up_for_those_of_others():
    request = (
        b"GET /desk/x HTTP/1.1\r\nHost: a\r\nX-Kind: read\r\nX-Key: k\r\n\r\n"
    )
    async with running_entry([Code.OK]) as (address, gate):
        gate.answer_body = b"x" * (7 * bodies.MIB)
        with slow_callers.connected(address, request, 12) as socks:
            await asyncio.sleep(1.0)
            assert 0 < slow_callers.count_resets(socks) < len(socks)
            answer = await processes.call(address, "/desk/x", **READ_HEADERS)
        assert answer[3] == gate.answer_body


async def test_body_that_stops_is_dropped_at_the_deadline():
    request = (
        b"POST /desk/x HTTP/1.1\r\nHost: a\r\nX-Kind: read\r\nX-Key: k\r\n"
        b"X-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nx"
    )
    async with running_entry([Code.OK]) as (address, gate):
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(request)
        async with asyncio.timeout(3.0):
            answer = await reader.read()
        writer.close()
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert gate.calls == []


async def test_entry_survives_malformed_http():
    async with running_entry([Code.OK]) as (address, _):
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"NONSENSE \x00\xff\r\n\r\n")
        line = await reader.readline()
        writer.close()
        assert b"400" in line
        assert (await processes.call(address, "/desk/x", **READ_HEADERS))[
            1
        ] == Code.OK


async def test_path_and_query_are_forwarded_unchanged():
    async with running_entry([Code.OK]) as (address, gate):
        await processes.call(
            address, "/desk/a%20b/c%2Fd?x=1&y=%26", **READ_HEADERS
        )
    assert gate.calls[0].path == "/a%20b/c%2Fd?x=1&y=%26"
