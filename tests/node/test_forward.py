"""The path of a call, with targets that a test scripts."""

import asyncio

import pytest

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import forward
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.node import view
from jujubeyard.ownership import table
from jujubeyard.platform import documents
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.store import changes
from jujubeyard.targets import registry
from tests.node import test_upstream
from tests.utils import fakes

NAMES = test_upstream.NAMES
ADDRESS = settings.Address("127.0.0.1", 1)
LIMITS = settings.Limits(2.0, 5.0, 6.0, 10.0, 0.2, 64.0, 1.5, 5.0)
CFG = settings.NodeSettings(
    "n1", "z1", ADDRESS, ADDRESS, ADDRESS, ADDRESS, ADDRESS, LIMITS
)
SERVICES = {
    "pool": config.Service("pool", False, 130, 3.0, 11.0, "/health"),
    "desk": config.Service("desk", True, 130, 3.0, 11.0, "/health"),
}


def _route(name, service, idempotent, timeout=1.0):
    return config.Route(
        name,
        "a.example",
        f"/{name}/",
        (config.Part(service, 1.0),),
        idempotent,
        timeout,
        0.5,
        2,
        1,
    )


ROUTES = (
    _route("read", "pool", True),
    _route("order", "pool", False),
    _route("short", "pool", False, timeout=0.2),
    _route("lookup", "desk", True),
)


class Upstreams:
    """Answers from a script, one entry for each call that is sent."""

    def __init__(self):
        self.script = []
        self.sent = []

    async def send(self, call):
        self.sent.append(call)
        step = self.script.pop(0)
        if callable(step):
            return await step(call)
        return step


class Bench:
    def __init__(self):
        self.notes = fakes.RecordingJournal()
        prefixes = changes.Prefixes("op/", "targets/", "own/")
        self.view = view.View(prefixes, None, None, self.notes)
        self.view.nodes = {"n1"}
        self.view.routes = match.RouteTable(
            config.Configuration(1, ROUTES, SERVICES, 1000)
        )
        self.upstreams = Upstreams()
        self.metrics = metrics.Metrics()
        self.forwarder = forward.Forwarder(
            CFG,
            self.view,
            self.upstreams,
            NAMES,
            documents.read_load,
            self.metrics,
            self.notes,
            reporting.Reporter(
                lambda: None, None, None, None, lambda: None, None, self.notes
            ),
        )

    def add(self, name, service="pool", **changes_of_listing):
        fields = {
            "zone": "z1",
            "slots": 6,
            "draining": False,
            "cold_seconds": 0.0,
            "born": 1,
        } | changes_of_listing
        listing = registry.Listing(name, service, f"{name}:1", **fields)
        self.view._apply(changes.TargetListed(listing))
        return self.view.registry.targets[name]

    def own(self, name, fence=1, born=1, revision=1):
        owner = table.Owner(name, born, f"{name}:1")
        shard = table.Shard(0, 65535, owner, fence, "")
        self.view.take_table(table.ShardTable("desk", (shard,), revision))

    async def serve(self, route, key=None, seconds=2.0, body=b""):
        loop = asyncio.get_running_loop()
        call = calls.Call(
            "c1",
            "GET",
            "a.example",
            f"/{route}/1?q=1",
            (("Host", "a.example"), ("X-Call", "c1"), ("Connection", "x-hop")),
            body,
            key,
            loop.time(),
            seconds,
        )
        return await self.forwarder.serve(call)


def answered(status=200, call_id="c1", signed=True, body=b"ok", **more):
    headers = {"X-Call": call_id}
    if signed:
        headers["X-Signature"] = "s"
    headers.update({k.replace("_", "-"): v for k, v in more.items()})
    answer = upstream.Answer(status, headers, body)
    return upstream.Sent(upstream.SendOutcome.ANSWERED, answer)


SHED = answered(503, X_Not_Run="1", signed=False)
MISDIRECTED = answered(421, X_Not_Run="1", signed=False)
BROKEN = upstream.Sent(upstream.SendOutcome.BROKEN)
NOT_SENT = upstream.Sent(upstream.SendOutcome.NOT_SENT)
TIMED_OUT = upstream.Sent(upstream.SendOutcome.TIMED_OUT)
OTHERS = answered(call_id="c2")
UNSIGNED = answered(signed=False)
ENCODED = answered(Content_Encoding="gzip")
FAILED = answered(500)
UNPROVED_PROMISE = answered(503)


@pytest.fixture
def bench():
    return Bench()


@pytest.mark.parametrize(
    ("route", "script", "status", "sent"),
    [
        pytest.param("read", [answered()], 200, 1, id="served"),
        pytest.param("order", [answered()], 200, 1, id="order served"),
        pytest.param("read", [SHED, answered()], 200, 2, id="shed, again"),
        pytest.param("order", [SHED, answered()], 200, 2, id="order shed"),
        pytest.param("order", [SHED, SHED], 503, 2, id="order shed twice"),
        pytest.param("order", [NOT_SENT, answered()], 200, 2, id="not sent"),
        pytest.param("order", [NOT_SENT, NOT_SENT], 503, 2, id="never sent"),
        pytest.param("read", [BROKEN, answered()], 200, 2, id="broken, again"),
        pytest.param("order", [BROKEN], 502, 1, id="order broken off"),
        pytest.param("order", [OTHERS], 502, 1, id="another's answer"),
        pytest.param("read", [OTHERS, answered()], 200, 2, id="then its own"),
        pytest.param("order", [UNSIGNED], 502, 1, id="unsigned"),
        pytest.param("order", [ENCODED], 502, 1, id="encoded"),
        pytest.param("order", [UNPROVED_PROMISE], 502, 1, id="empty promise"),
        pytest.param("order", [FAILED], 500, 1, id="order failed"),
        pytest.param("read", [FAILED, answered()], 200, 2, id="failed, again"),
        pytest.param("order", [SHED, BROKEN], 502, 2, id="shed, then broken"),
        pytest.param("read", [BROKEN, SHED], 502, 2, id="broken, then shed"),
        pytest.param("order", [answered(404)], 404, 1, id="target's 404"),
    ],
)
async def test_outcomes(bench, route, script, status, sent):
    bench.add("t1")
    bench.add("t2")
    bench.upstreams.script = list(script)
    for _ in range(30):
        bench.forwarder._budget.earn("pool", 1)
    reply = await bench.serve(route)
    assert reply.status == status
    assert len(bench.upstreams.sent) == sent
    if status == 503:
        assert reply.retry_after > 0.0


async def test_a_second_target_is_another_one(bench):
    bench.add("t1")
    bench.add("t2")
    bench.upstreams.script = [SHED, answered()]
    await bench.serve("read")
    assert len({call.address for call in bench.upstreams.sent}) == 2


async def test_headers_that_reach_the_target(bench):
    bench.add("t1")
    bench.upstreams.script = [answered()]
    await bench.serve("short", seconds=5.0)
    (call,) = bench.upstreams.sent
    headers = dict(call.headers)
    assert "Connection" not in headers
    assert headers["X-Expected"] == "t1"
    assert 0 < int(headers["X-Deadline"]) <= 200
    assert call.path == "/short/1?q=1"
    assert call.on_fresh_connection


async def test_at_the_timeout_an_order_may_have_run(bench):
    async def hang(call):
        await asyncio.sleep(call.seconds)
        return TIMED_OUT

    bench.add("t1")
    bench.upstreams.script = [hang]
    reply = await bench.serve("short")
    assert reply.code is codes.ResultCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize(
    ("prepare", "code"),
    [
        (lambda b: setattr(b.view, "routes", None), "NOT_CONFIGURED"),
        (lambda b: None, "NO_TARGET"),
        (lambda b: b.add("t1", draining=True), "NO_TARGET"),
        (lambda b: b.add("t1", service="other"), "NO_TARGET"),
    ],
)
async def test_refusals_without_a_target(bench, prepare, code):
    prepare(bench)
    reply = await bench.serve("read")
    assert reply.code.name == code
    assert codes.TABLE[reply.code].not_run
    assert reply.retry_after > 0.0
    assert not bench.upstreams.sent


async def test_unknown_routes(bench):
    reply = await bench.serve("nowhere")
    assert reply.status == 404


async def test_large_bodies(bench):
    bench.add("t1")
    reply = await bench.serve("order", body=b"x" * 1001)
    assert reply.status == 413


async def test_keyed_calls_go_to_the_owner(bench):
    for name in ("t1", "t2", "t3"):
        bench.add(name, "desk")
    bench.own("t2")
    bench.upstreams.script = [answered()]
    reply = await bench.serve("lookup", key=5)
    assert reply.status == 200
    assert bench.upstreams.sent[0].address == "t2:1"


@pytest.mark.parametrize(
    "prepare",
    [
        pytest.param(lambda b: None, id="no table"),
        pytest.param(lambda b: b.own("t9"), id="unknown owner"),
        pytest.param(lambda b: b.own("t1", born=2), id="another life"),
    ],
)
async def test_keys_without_an_owner_are_refused_soon(bench, prepare):
    bench.add("t1", "desk")
    prepare(bench)
    loop = asyncio.get_running_loop()
    began = loop.time()
    reply = await bench.serve("lookup", key=5)
    assert loop.time() - began < 2 * owners.MOVE_WAIT_SECONDS
    assert reply.code is codes.ResultCode.NOT_READY
    assert not bench.upstreams.sent


async def test_a_call_follows_its_key(bench):
    bench.add("t1", "desk")
    bench.add("t2", "desk")
    bench.own("t1")
    for _ in range(30):
        bench.forwarder._budget.earn("desk", 1)

    async def move(call):
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, lambda: bench.own("t2", fence=2, revision=2))
        return MISDIRECTED

    bench.upstreams.script = [move, answered()]
    reply = await bench.serve("lookup", key=5)
    assert reply.status == 200
    assert [c.address for c in bench.upstreams.sent] == ["t1:1", "t2:1"]


async def test_a_call_goes_at_once_to_an_owner_known_before_the_refusal(bench):
    bench.add("t1", "desk")
    bench.add("t2", "desk")
    bench.own("t1")
    for _ in range(30):
        bench.forwarder._budget.earn("desk", 1)

    async def wait_in_queue(call):
        bench.own("t2", fence=2, revision=2)
        return MISDIRECTED

    bench.upstreams.script = [wait_in_queue, answered()]
    began = asyncio.get_running_loop().time()
    reply = await bench.serve("lookup", key=5)
    assert reply.status == 200
    assert [c.address for c in bench.upstreams.sent] == ["t1:1", "t2:1"]
    assert asyncio.get_running_loop().time() - began < 0.1


async def test_an_overloaded_owner_gets_no_more(bench):
    target = bench.add("t1", "desk")
    bench.own("t1")
    for _ in range(30):
        target.load.observe_success(0.3, 0.0)
    target.load.in_flight = 60
    reply = await bench.serve("lookup", key=5)
    assert reply.code is codes.ResultCode.OVERLOADED
    assert 0.1 <= reply.retry_after <= 1.0
    assert not bench.upstreams.sent


async def test_a_cold_target_is_paced(bench):
    bench.add("t1", cold_seconds=3.0)
    bench.upstreams.script = [answered()]
    assert (await bench.serve("read")).status == 200
    assert (await bench.serve("read")).status == 503


async def test_a_cancelled_call_frees_its_place(bench):
    async def hang(call):
        await asyncio.sleep(10)

    target = bench.add("t1")
    bench.upstreams.script = [hang]
    task = asyncio.create_task(bench.serve("read"))
    await asyncio.sleep(0.02)
    assert target.load.in_flight == 1
    task.cancel()
    await asyncio.wait([task])
    assert target.load.in_flight == 0
