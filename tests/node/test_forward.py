"""Tests of forwarding, with scripted answers instead of targets."""

import asyncio
import dataclasses

import pytest

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import cluster_view
from jujubeyard.node import forward
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.node import upstream
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
SETTINGS = settings.NodeSettings(
    "n1", "z1", ADDRESS, ADDRESS, ADDRESS, ADDRESS, ADDRESS, LIMITS
)
SERVICES = {
    "pool": config.Service("pool", False, 130, 3.0, 11.0, "/health"),
    "desk": config.Service("desk", True, 130, 3.0, 11.0, "/health"),
}


def _route(name, service, idempotent, timeout=1.0, objective=0.5):
    return config.Route(
        name,
        "a.example",
        f"/{name}/",
        (config.TrafficShare(service, 1.0),),
        idempotent,
        timeout,
        objective,
        2,
        1,
    )


ROUTES = (
    _route("read", "pool", True),
    _route("order", "pool", False),
    _route("short", "pool", False, timeout=0.2),
    _route("lookup", "desk", True),
    _route("urgent", "desk", True, objective=0.3),
)


class FakeUpstreamClient:
    """Returns scripted results, one for each call that is sent."""

    def __init__(self):
        self.script = []
        self.sent = []

    async def send(self, call):
        self.sent.append(call)
        step = self.script.pop(0)
        if callable(step):
            return await step(call)
        return step


class Harness:
    def __init__(self):
        self.log = fakes.RecordingJournal()
        prefixes = changes.Prefixes("op/", "targets/", "own/")
        self.view = cluster_view.ClusterView(prefixes, None, None, self.log)
        self.call = None
        self.view.nodes = {"n1"}
        self.view.routes = match.RouteTable(
            config.Configuration(1, ROUTES, SERVICES, 1000)
        )
        self.client = FakeUpstreamClient()
        self.metrics = metrics.Metrics()
        self.forwarder = forward.Forwarder(
            SETTINGS,
            self.view,
            self.client,
            NAMES,
            documents.parse_load_report,
            self.metrics,
            self.log,
            reporting.Reporter(
                lambda: None, None, None, None, lambda: None, None, self.log
            ),
        )

    def add_target(self, name, service="pool", **listing_fields):
        fields = {
            "zone": "z1",
            "slots": 6,
            "draining": False,
            "cold_seconds": 0.0,
            "born": 1,
        } | listing_fields
        listing = registry.Listing(name, service, f"{name}:1", **fields)
        self.view._apply(changes.TargetListed(listing))
        return self.view.registry.targets[name]

    def set_owner(self, name, fence=1, born=1, revision=1):
        owner = table.Owner(name, born, f"{name}:1")
        shard = table.Shard(0, 65535, owner, fence, "")
        self.view.apply_table(table.ShardTable("desk", (shard,), revision))

    async def serve(self, route, key=None, seconds=2.0, body=b"", stream=None):
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
            stream,
        )
        self.call = call
        return await self.forwarder.serve(call)


def make_answer(
    status=200, call_id="c1", signed=True, body=b"ok", **more_headers
):
    headers = {"X-Call": call_id}
    if signed:
        headers["X-Signature"] = "s"
    headers.update({k.replace("_", "-"): v for k, v in more_headers.items()})
    answer = upstream.Answer(status, headers, body)
    return upstream.SendResult(upstream.SendOutcome.ANSWERED, answer)


NOT_RUN = make_answer(503, X_Not_Run="1", signed=False)
MISDIRECTED = make_answer(421, X_Not_Run="1", signed=False)
REFUSAL_WITHOUT_ID = make_answer(503, call_id="", X_Not_Run="1", signed=False)
EARLIER_REFUSAL = make_answer(503, call_id="c0", X_Not_Run="1", signed=False)
BROKEN = upstream.SendResult(upstream.SendOutcome.BROKEN)
NOT_SENT = upstream.SendResult(upstream.SendOutcome.NOT_SENT)
TIMED_OUT = upstream.SendResult(upstream.SendOutcome.TIMED_OUT)
OTHER_CALLS_ANSWER = make_answer(call_id="c2")
UNSIGNED = make_answer(signed=False)
ENCODED = make_answer(Content_Encoding="gzip")
SERVER_ERROR = make_answer(500)
NOT_RUN_WITHOUT_HEADER = make_answer(503)


CALLER_FAILED = upstream.SendResult(upstream.SendOutcome.CALLER_FAILED)
TARGET_FULL = upstream.SendResult(upstream.SendOutcome.TARGET_FULL)
NO_MEMORY = upstream.SendResult(upstream.SendOutcome.NO_MEMORY)


class FakeStream:
    length = 100_000

    def __init__(self, is_held, failure=None):
        self.is_held = is_held
        self.failure = failure

    def limit(self, max_bytes):
        return True


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize(
    ("script", "stream", "status", "attempts"),
    [
        pytest.param(
            [NOT_RUN, make_answer()], FakeStream(True), 200, 2, id="held"
        ),
        pytest.param([NOT_RUN], FakeStream(False), 503, 1, id="not held"),
        pytest.param([BROKEN], FakeStream(False), 502, 1, id="broken"),
        pytest.param(
            [CALLER_FAILED],
            FakeStream(False, codes.ResultCode.DEADLINE_EXCEEDED),
            504,
            1,
            id="caller too slow",
        ),
        pytest.param(
            [TARGET_FULL, make_answer()], FakeStream(True), 200, 2, id="full"
        ),
        pytest.param(
            [TARGET_FULL] * 2, FakeStream(True), 503, 2, id="all full"
        ),
    ],
)
async def test_body_in_transit_is_sent_again_only_while_it_is_held(
    harness, script, stream, status, attempts
):
    targets = [harness.add_target("t1"), harness.add_target("t2")]
    harness.client.script = list(script)
    reply = await harness.serve("read", stream=stream)
    assert (reply.status, len(harness.client.sent)) == (status, attempts)
    if CALLER_FAILED in script or TARGET_FULL in script:
        assert not any(target.load.avoid_until for target in targets)


@pytest.mark.parametrize(
    ("route", "script", "status"),
    [("order", [NO_MEMORY], 502), ("read", [NO_MEMORY, make_answer()], 200)],
)
async def test_target_is_not_blamed_for_the_memory_of_the_node(
    harness, route, script, status
):
    targets = [harness.add_target("t1"), harness.add_target("t2")]
    harness.client.script = list(script)
    assert (await harness.serve(route)).status == status
    assert not any(target.load.avoid_until for target in targets)
    assert not any(target.load.failure_rate for target in targets)


@pytest.mark.parametrize(
    ("script", "status", "spent"),
    [
        ([TARGET_FULL] * 3 + [make_answer()], 200, 0),
        ([TARGET_FULL] * 2 + [NOT_RUN, make_answer()], 200, 1),
        ([TARGET_FULL] * 2 + [NOT_RUN] * 2, 503, 1),
    ],
)
async def test_full_target_uses_up_no_attempt(harness, script, status, spent):
    for number in range(5):
        harness.add_target(f"t{number}")
    harness.client.script = list(script)
    budget = harness.forwarder._retry_budget
    retries = []
    budget.spend = lambda service: not retries.append(service)
    assert (await harness.serve("read", body=b"x")).status == status
    assert len({call.address for call in harness.client.sent}) == len(script)
    assert len(retries) == spent


async def test_full_owner_is_not_tried_without_end(harness):
    harness.add_target("t1", "desk")
    harness.set_owner("t1")
    harness.client.script = [TARGET_FULL] * 2
    assert (await harness.serve("lookup", key=5)).status == 503
    assert len(harness.client.sent) == 2


class FakeAnswerStream:
    def __init__(self, failure, is_target_at_fault):
        self.length = 1_000_000
        self.failure = failure
        self.is_target_at_fault = is_target_at_fault
        self.is_closed = False
        self.report_end = None

    def on_end(self, report_end):
        self.report_end = report_end

    def close(self):
        self.is_closed = True


def _make_streamed_answer(stream, *args, **kwargs):
    result = make_answer(*args, **kwargs)
    answer = dataclasses.replace(result.answer, body=b"", stream=stream)
    return dataclasses.replace(result, answer=answer)


@pytest.mark.parametrize(
    ("failure", "is_target_at_fault"),
    [("", False), ("reset", True), ("reset after a slow caller", False)],
)
async def test_large_answer_counts_at_its_target_until_it_ends(
    harness, failure, is_target_at_fault
):
    target = harness.add_target("t1")
    stream = FakeAnswerStream(failure, is_target_at_fault)
    harness.client.script = [_make_streamed_answer(stream)]
    reply = await harness.serve("read")
    assert reply.stream is stream
    assert target.load.in_flight == 1
    before = target.load.failure_rate
    stream.report_end()
    assert target.load.in_flight == 0
    assert (target.load.failure_rate > before) is is_target_at_fault
    assert not stream.is_closed


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param({"status": 503, "X_Not_Run": "1"}, id="refusal"),
        pytest.param({"signed": False}, id="invalid"),
        pytest.param({"status": 500}, id="failure"),
    ],
)
async def test_large_answer_that_is_not_passed_on_is_closed(harness, answer):
    harness.add_target("t1")
    harness.add_target("t2")
    stream = FakeAnswerStream("", False)
    harness.client.script = [
        _make_streamed_answer(stream, **answer),
        make_answer(),
    ]
    assert (await harness.serve("read")).body == b"ok"
    assert stream.is_closed


@pytest.mark.parametrize(
    ("route", "script", "status", "attempts"),
    [
        pytest.param("read", [make_answer()], 200, 1, id="served"),
        pytest.param("order", [make_answer()], 200, 1, id="order served"),
        pytest.param(
            "read", [NOT_RUN, make_answer()], 200, 2, id="shed, again"
        ),
        pytest.param(
            "order", [NOT_RUN, make_answer()], 200, 2, id="order shed"
        ),
        pytest.param(
            "order", [NOT_RUN, NOT_RUN], 503, 2, id="order shed twice"
        ),
        pytest.param("order", [NOT_SENT, make_answer()], 200, 2, id="not sent"),
        pytest.param("order", [NOT_SENT, NOT_SENT], 503, 2, id="never sent"),
        pytest.param(
            "read", [BROKEN, make_answer()], 200, 2, id="broken, again"
        ),
        pytest.param("order", [BROKEN], 502, 1, id="order broken off"),
        pytest.param(
            "order", [OTHER_CALLS_ANSWER], 502, 1, id="another's answer"
        ),
        pytest.param(
            "read",
            [OTHER_CALLS_ANSWER, make_answer()],
            200,
            2,
            id="then its own",
        ),
        pytest.param("order", [UNSIGNED], 502, 1, id="unsigned"),
        pytest.param("order", [ENCODED], 502, 1, id="encoded"),
        pytest.param(
            "order", [NOT_RUN_WITHOUT_HEADER], 502, 1, id="empty promise"
        ),
        pytest.param(
            "order", [REFUSAL_WITHOUT_ID], 502, 1, id="refusal without an id"
        ),
        pytest.param(
            "order", [EARLIER_REFUSAL], 502, 1, id="another call's refusal"
        ),
        pytest.param(
            "read",
            [REFUSAL_WITHOUT_ID, make_answer()],
            200,
            2,
            id="then an answer",
        ),
        pytest.param("order", [SERVER_ERROR], 500, 1, id="order failed"),
        pytest.param(
            "read", [SERVER_ERROR, make_answer()], 200, 2, id="failed, again"
        ),
        pytest.param(
            "order", [NOT_RUN, BROKEN], 502, 2, id="shed, then broken"
        ),
        pytest.param("read", [BROKEN, NOT_RUN], 502, 2, id="broken, then shed"),
        pytest.param("order", [make_answer(404)], 404, 1, id="target's 404"),
    ],
)
async def test_reply_and_attempts(harness, route, script, status, attempts):
    harness.add_target("t1")
    harness.add_target("t2")
    harness.client.script = list(script)
    for _ in range(30):
        harness.forwarder._retry_budget.earn("pool", 1)
    reply = await harness.serve(route)
    assert reply.status == status
    assert len(harness.client.sent) == attempts
    if status == 503:
        assert reply.retry_after > 0.0


@pytest.mark.parametrize(
    ("result", "is_known_not_run"),
    [(NOT_RUN, True), (NOT_SENT, True), (BROKEN, False), (TIMED_OUT, False)],
)
async def test_progress_says_whether_a_call_may_have_run(
    harness, result, is_known_not_run
):
    async def send(call):
        seen.append(harness.call.progress.is_known_not_run)
        return result

    seen = []
    harness.add_target("t1")
    harness.client.script = [send]
    await harness.serve("order")
    assert seen == [False]
    assert harness.call.progress.is_known_not_run is is_known_not_run


async def test_retry_goes_to_another_target(harness):
    harness.add_target("t1")
    harness.add_target("t2")
    harness.client.script = [NOT_RUN, make_answer()]
    await harness.serve("read")
    assert len({call.address for call in harness.client.sent}) == 2


async def test_headers_sent_to_target(harness):
    harness.add_target("t1")
    harness.client.script = [make_answer()]
    await harness.serve("short", seconds=5.0)
    (call,) = harness.client.sent
    headers = dict(call.headers)
    assert "Connection" not in headers
    assert headers["X-Expected"] == "t1"
    assert 0 < int(headers["X-Deadline"]) <= 200
    assert call.path == "/short/1?q=1"
    assert call.on_fresh_connection


async def test_timed_out_call_returns_deadline_exceeded(harness):
    async def hang(call):
        await asyncio.sleep(call.timeout_seconds)
        return TIMED_OUT

    harness.add_target("t1")
    harness.client.script = [hang]
    reply = await harness.serve("short")
    assert reply.code is codes.ResultCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize(
    ("prepare", "code"),
    [
        (lambda b: setattr(b.view, "routes", None), "NOT_CONFIGURED"),
        (lambda b: None, "NO_TARGET"),
        (lambda b: b.add_target("t1", draining=True), "NO_TARGET"),
        (lambda b: b.add_target("t1", service="other"), "NO_TARGET"),
    ],
)
async def test_refused_without_usable_target(harness, prepare, code):
    prepare(harness)
    reply = await harness.serve("read")
    assert reply.code.name == code
    assert codes.CODE_INFO[reply.code].not_run
    assert reply.retry_after > 0.0
    assert not harness.client.sent


async def test_unknown_route_returns_404(harness):
    reply = await harness.serve("nowhere")
    assert reply.status == 404


async def test_too_large_body_returns_413(harness):
    harness.add_target("t1")
    reply = await harness.serve("order", body=b"x" * 1001)
    assert reply.status == 413


async def test_keyed_call_goes_to_owner(harness):
    for name in ("t1", "t2", "t3"):
        harness.add_target(name, "desk")
    harness.set_owner("t2")
    harness.client.script = [make_answer()]
    reply = await harness.serve("lookup", key=5)
    assert reply.status == 200
    assert harness.client.sent[0].address == "t2:1"


@pytest.mark.parametrize(
    "prepare",
    [
        pytest.param(lambda b: None, id="no table"),
        pytest.param(lambda b: b.set_owner("t9"), id="unknown owner"),
        pytest.param(lambda b: b.set_owner("t1", born=2), id="another life"),
    ],
)
async def test_key_without_owner_is_refused_within_move_wait(harness, prepare):
    harness.add_target("t1", "desk")
    prepare(harness)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    reply = await harness.serve("lookup", key=5)
    assert loop.time() - started_at < 2 * owners.MOVE_WAIT_SECONDS
    assert reply.code is codes.ResultCode.NOT_READY
    assert not harness.client.sent


async def test_misdirected_call_follows_key_to_new_owner(harness):
    harness.add_target("t1", "desk")
    harness.add_target("t2", "desk")
    harness.set_owner("t1")
    for _ in range(30):
        harness.forwarder._retry_budget.earn("desk", 1)

    async def move_key(call):
        loop = asyncio.get_running_loop()
        loop.call_later(
            0.05, lambda: harness.set_owner("t2", fence=2, revision=2)
        )
        return MISDIRECTED

    harness.client.script = [move_key, make_answer()]
    reply = await harness.serve("lookup", key=5)
    assert reply.status == 200
    assert [c.address for c in harness.client.sent] == ["t1:1", "t2:1"]


async def test_misdirected_call_goes_at_once_to_owner_already_in_table(harness):
    """The table changes while the call waits in the former owner's queue."""
    harness.add_target("t1", "desk")
    harness.add_target("t2", "desk")
    harness.set_owner("t1")
    for _ in range(30):
        harness.forwarder._retry_budget.earn("desk", 1)

    async def move_key_before_refusal(call):
        harness.set_owner("t2", fence=2, revision=2)
        return MISDIRECTED

    harness.client.script = [move_key_before_refusal, make_answer()]
    started_at = asyncio.get_running_loop().time()
    reply = await harness.serve("lookup", key=5)
    assert reply.status == 200
    assert [c.address for c in harness.client.sent] == ["t1:1", "t2:1"]
    assert asyncio.get_running_loop().time() - started_at < 0.1


async def test_overloaded_owner_receives_no_call(harness):
    target = harness.add_target("t1", "desk")
    harness.set_owner("t1")
    for _ in range(30):
        target.load.observe_success(0.3, 0.0)
    target.load.in_flight = 60
    reply = await harness.serve("lookup", key=5)
    assert reply.code is codes.ResultCode.OVERLOADED
    assert 0.1 <= reply.retry_after <= 1.0
    assert not harness.client.sent


@pytest.mark.parametrize("route", ["lookup", "urgent"])
@pytest.mark.parametrize(("in_flight", "status"), [(14, 200), (30, 429)])
async def test_added_route_with_shorter_objective_is_not_starved(
    harness, route, in_flight, status
):
    target = harness.add_target("t1", "desk")
    harness.set_owner("t1")
    for _ in range(30):
        target.load.observe_success(0.3, 0.0)
    target.load.in_flight = in_flight
    harness.client.script = [make_answer()]
    assert (await harness.serve(route, key=5)).status == status


@pytest.mark.parametrize(
    ("route", "in_flight", "status"),
    [("lookup", 0, 429), ("urgent", 5, 200), ("urgent", 12, 429)],
)
async def test_added_route_is_not_refused_for_the_work_of_other_routes(
    harness, route, in_flight, status
):
    target = harness.add_target("t1", "desk")
    harness.set_owner("t1")
    for _ in range(30):
        target.load.observe_success(1.2, 0.0)
        harness.forwarder._selector.route_work.observe("desk", "lookup", 1.2)
    target.load.in_flight = in_flight
    harness.client.script = [make_answer()]
    assert (await harness.serve(route, key=5)).status == status


async def test_calls_to_cold_target_are_rate_limited(harness):
    harness.add_target("t1", cold_seconds=3.0)
    harness.client.script = [make_answer()]
    assert (await harness.serve("read")).status == 200
    assert (await harness.serve("read")).status == 503


async def test_cancelled_call_is_not_counted_in_flight(harness):
    async def hang(call):
        await asyncio.sleep(10)

    target = harness.add_target("t1")
    harness.client.script = [hang]
    task = asyncio.create_task(harness.serve("read"))
    await asyncio.sleep(0.02)
    assert target.load.in_flight == 1
    task.cancel()
    await asyncio.wait([task])
    assert target.load.in_flight == 0


async def test_earlier_refusal_is_not_read_as_the_answer_to_a_second_attempt(
    harness,
):
    harness.add_target("t1", "desk")
    harness.set_owner("t1")

    async def move_key(_):
        harness.set_owner("t1", fence=2, revision=2)
        return MISDIRECTED

    harness.client.script = [move_key, make_answer()]
    for _ in range(30):
        harness.forwarder._retry_budget.earn("desk", 1)
    reply = await harness.serve("lookup", key=1)
    assert reply.status == 200
    fresh = [call.on_fresh_connection for call in harness.client.sent]
    assert fresh == [False, True]


@pytest.mark.parametrize(
    ("unreadable", "path", "status"),
    [
        (("u", "a.example", "/read/"), "read", 503),
        (("u", "a.example", "/read/1/"), "read/1", 503),
        (("u", "a.example", "/read/2/"), "read", 200),
        (("u", "a.example", None), "read", 200),
        (("u", "a.example", None), "nowhere", 503),
        (("u", "b.example", None), "nowhere", 404),
        (("u", None, None), "nowhere", 503),
    ],
)
async def test_call_of_an_unreadable_route_is_refused_and_not_denied(
    harness, unreadable, path, status
):
    harness.view.routes = match.RouteTable(
        config.Configuration(
            2, ROUTES, SERVICES, 1000, (config.UnreadableRoute(*unreadable),)
        )
    )
    harness.add_target("t1")
    harness.client.script = [make_answer()]
    reply = await harness.serve(path)
    assert reply.status == status
    assert len(harness.client.sent) == (status == 200)
    assert (reply.retry_after > 0.0) is (status == 503)


@pytest.mark.parametrize(("is_outdated", "status"), [(False, 404), (True, 503)])
async def test_route_is_not_denied_while_a_newer_configuration_is_known(
    harness, is_outdated, status
):
    harness.view.set_configuration_check(lambda: is_outdated)
    reply = await harness.serve("unknown")
    assert reply.status == status
    assert (reply.retry_after > 0.0) is is_outdated


LEAVING = {"X_Leaving": "1"}
PAUSE = {"Retry_After": "5", "X_Not_Run": "1"}


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(make_answer(**LEAVING), id="success"),
        pytest.param(make_answer(500, **LEAVING), id="error"),
        pytest.param(
            make_answer(503, X_Not_Run="1", signed=False, **LEAVING),
            id="refusal",
        ),
        pytest.param(
            make_answer(call_id="c9", **LEAVING), id="answer to another call"
        ),
    ],
)
async def test_target_that_says_it_is_leaving_gets_no_further_call(
    harness, answer
):
    harness.add_target("t1")
    harness.client.script = [answer]
    await harness.serve("order")
    harness.add_target("t1")
    reply = await harness.serve("order")
    assert reply.code is codes.ResultCode.NO_TARGET
    assert len(harness.client.sent) == 1


async def test_owner_that_says_it_is_leaving_gets_calls_only_within_the_limit(
    harness,
):
    target = harness.add_target("t1", "desk")
    harness.set_owner("t1")
    harness.client.script = [make_answer(**LEAVING), make_answer()]
    assert (await harness.serve("lookup", key=1)).status == 200
    assert (await harness.serve("lookup", key=1)).status == 200
    assert target.leaving_since > 0.0
    target.leaving_since -= LIMITS.drain
    harness.add_target("t1", "desk")
    reply = await harness.serve("lookup", key=1)
    assert reply.code is codes.ResultCode.NOT_READY
    harness.add_target("t1", "desk", born=2)
    harness.set_owner("t1", born=2, revision=2)
    harness.client.script = [make_answer()]
    assert (await harness.serve("lookup", key=1)).status == 200


@pytest.mark.parametrize(
    ("route", "key"), [("read", None), ("order", None), ("lookup", 1)]
)
async def test_target_that_asks_for_a_pause_gets_no_call_until_its_end(
    harness, route, key
):
    service = "pool" if key is None else "desk"
    target = harness.add_target("t1", service)
    harness.set_owner("t1")
    harness.client.script = [make_answer(503, signed=False, **PAUSE)]
    for _ in range(4):
        reply = await harness.serve(route, key=key)
        assert reply.status in (429, 503)
        assert 4.5 < reply.retry_after <= 5.0
    assert len(harness.client.sent) == 1
    target.load.paused_until -= 5.0
    target.load.avoid_until = 0.0
    harness.client.script = [make_answer()]
    assert (await harness.serve(route, key=key)).status == 200


async def test_call_goes_elsewhere_while_a_target_asks_for_a_pause(harness):
    targets = [harness.add_target("t1"), harness.add_target("t2")]
    harness.client.script = [
        make_answer(503, signed=False, **PAUSE),
        *(make_answer() for _ in range(20)),
    ]
    for _ in range(20):
        assert (await harness.serve("order")).status == 200
        for target in targets:
            target.load.avoid_until = 0.0
            target.load.failure_rate = 0.0
    paused = harness.client.sent[0].address
    assert [call.address for call in harness.client.sent].count(paused) == 1


SHED = make_answer(503, X_Not_Run="1", X_Load="1,0,6", signed=False)
FULL = make_answer(503, X_Not_Run="1", X_Load="6,12,6", signed=False)


async def test_a_target_that_sheds_is_avoided_while_others_accept(harness):
    for name in ("t1", "t2", "t3"):
        harness.add_target(name)
    harness.client.script = [SHED, *[make_answer() for _ in range(20)]]
    for _ in range(20):
        reply = await harness.serve("read")
        assert reply.status == 200
    first = harness.client.sent[0].address
    assert first not in [call.address for call in harness.client.sent[1:]]


async def test_an_overfull_owner_gets_a_share_of_the_calls(harness):
    target = harness.add_target("t1", service="desk")
    harness.set_owner("t1")
    room = target.load.room
    now = asyncio.get_running_loop().time()
    room.limit.observe_full(12, now)
    harness.client.script = [make_answer() for _ in range(40)]
    replies = [await harness.serve("lookup", key=7)]
    room.controller.exponent = 1.5
    room.controller.reported_at = now
    replies += [await harness.serve("lookup", key=7) for _ in range(39)]
    refused = [reply for reply in replies if reply.status != 200]
    assert 24 <= len(refused) <= 36
    assert {reply.code for reply in refused} == {codes.ResultCode.OVERLOADED}
    assert all(0.1 <= reply.retry_after <= 1.0 for reply in refused)
    assert harness.log.count("call lacks room") == len(refused)


@pytest.mark.parametrize(
    ("answer", "limit", "is_refusing"),
    [(FULL, 12.0, False), (SHED, None, True), (NOT_RUN, None, False)],
)
async def test_a_refusal_tells_of_the_room_by_its_load(
    harness, answer, limit, is_refusing
):
    target = harness.add_target("t1")
    harness.client.script = [answer]
    await harness.serve("read")
    now = asyncio.get_running_loop().time()
    assert harness.view.registry.queue_limit("pool").current(now) == limit
    assert target.load.room.refusal.is_refusing(now) == is_refusing
