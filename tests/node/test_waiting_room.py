"""Tests of calls that wait at the node for room at a target."""

import asyncio
import dataclasses

import pytest

from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard.node import waiting_room
from jujubeyard.ownership import table
from jujubeyard.routing import config
from jujubeyard.routing import match
from jujubeyard.scheduling import waiting
from jujubeyard.targets import loads
from tests.node import test_forward

FULL = 30
URGENCIES = {"read": 0, "order": 1, "lookup": 0, "urgent": 2}
ALL_ROUTES = [("read", None), ("order", None), ("lookup", 5), ("urgent", 5)]


def give_priorities(harness, urgencies):
    routes = tuple(
        dataclasses.replace(route, urgency=urgencies.get(route.name, 1))
        for route in test_forward.ROUTES
    )
    harness.view.routes = match.RouteTable(
        config.Configuration(1, routes, test_forward.SERVICES, 1000)
    )


@pytest.fixture
def harness():
    """A node with one target for each service, which has no room."""
    harness = test_forward.Harness()
    give_priorities(harness, URGENCIES)
    harness.add_target("t1", slots=1)
    harness.add_target("t2", "desk", slots=1)
    harness.set_owner("t2")
    harness.client.script = [test_forward.make_answer() for _ in range(30)]
    for target in harness.view.registry.targets.values():
        for _ in range(30):
            target.load.observe_success(0.1, 0.0)
        target.load.in_flight = FULL
    return harness


def free_room(harness):
    for target in harness.view.registry.targets.values():
        target.load.in_flight = 0


async def start_calls(harness, routes):
    tasks = []
    for route, key in routes:
        tasks.append(asyncio.create_task(harness.serve(route, key=key)))
        await asyncio.sleep(0.01)
    return tasks


def find_waits(harness):
    return [
        fields
        for event, fields in harness.log.events
        if event == "call waited for room"
    ]


@pytest.mark.parametrize(("route", "key"), ALL_ROUTES)
async def test_call_is_served_soon_after_room_came(harness, route, key):
    (task,) = await start_calls(harness, [(route, key)])
    await asyncio.sleep(0.05)
    assert not task.done()
    free_room(harness)
    reply = await asyncio.wait_for(
        task, 2 * waiting_room.CHECK_INTERVAL_SECONDS
    )
    assert reply.status == 200
    (wait,) = find_waits(harness)
    assert wait["outcome"] == waiting_room.GRANTED
    assert 'jujubeyard_waiting_calls{service="' in str(harness.metrics.render())


@pytest.mark.parametrize(("route", "key"), ALL_ROUTES)
async def test_call_that_gets_no_room_is_refused_with_time_left(
    harness, route, key
):
    started_at = asyncio.get_running_loop().time()
    reply = await harness.serve(route, key=key)
    assert reply.code is codes.ResultCode.DEADLINE_UNREACHABLE
    assert reply.status == 503
    assert reply.retry_after > 0.0
    assert asyncio.get_running_loop().time() - started_at < 0.6
    (wait,) = find_waits(harness)
    assert wait["outcome"] == waiting.Reason.TOO_LATE.value
    assert wait["expected"] > wait["bound"]
    assert wait["target"] == ("t1" if key is None else "t2")
    assert wait["owner"] == ("" if key is None else "t2")
    assert not harness.client.sent


async def test_no_call_waits_if_all_routes_have_the_same_priority(harness):
    give_priorities(harness, {})
    reply = await harness.serve("read")
    assert reply.code is codes.ResultCode.OVERLOADED
    assert not find_waits(harness)


async def test_end_of_a_call_lets_the_most_urgent_go_first(harness):
    tasks = await start_calls(harness, [("order", None), ("read", None)])
    free_room(harness)
    harness.forwarder.waiting_room.tell_of_room("pool", "t1")
    await asyncio.gather(*tasks)
    paths = [call.path.split("/")[1] for call in harness.client.sent]
    assert paths == ["read", "order"]


async def test_caller_that_leaves_frees_its_place(harness):
    gone, kept = await start_calls(harness, [("read", None)] * 2)
    gone.cancel()
    await asyncio.wait([gone])
    free_room(harness)
    assert (await kept).status == 200
    outcomes = [wait["outcome"] for wait in find_waits(harness)]
    assert outcomes == [waiting_room.LEFT, waiting_room.GRANTED]
    room = harness.forwarder.waiting_room
    assert (room._waiting_calls, room._waiting_bytes) == (0, 0)


async def test_full_node_refuses_the_less_urgent(harness, monkeypatch):
    monkeypatch.setattr(waiting_room, "MAX_WAITING_CALLS", 1)
    order, read = await start_calls(harness, [("order", None), ("read", None)])
    reply = await order
    assert reply.code is codes.ResultCode.OVERLOADED
    assert reply.retry_after > 0.0
    free_room(harness)
    assert (await read).status == 200


async def test_shutdown_refuses_waiting_calls_and_lets_none_wait(harness):
    tasks = await start_calls(harness, ALL_ROUTES)
    harness.forwarder.waiting_room.close()
    replies = await asyncio.wait_for(asyncio.gather(*tasks), 0.1)
    assert {reply.code.name for reply in replies} == {"SHUTTING_DOWN"}
    assert (await harness.serve("read")).code is codes.ResultCode.OVERLOADED


@pytest.mark.parametrize(
    ("age_seconds", "may_wait"),
    [(0.0, True), (1.0, True), (3.0, False), (10.0, False)],
)
async def test_old_knowledge_of_a_full_target_holds_no_call(
    harness, age_seconds, may_wait
):
    target = harness.view.registry.targets["t1"]
    target.load.in_flight = 0
    now = asyncio.get_running_loop().time()
    target.load.apply_report(
        loads.LoadReport(1, 60, 1, 1.0), now - age_seconds, now
    )
    await harness.serve("read")
    assert bool(find_waits(harness)) is may_wait


async def test_call_of_a_moved_key_follows_it_to_the_new_owner(harness):
    (task,) = await start_calls(harness, [("lookup", 5)])
    harness.add_target("t3", "desk")
    harness.set_owner("t3", fence=2, revision=2)
    assert (await task).status == 200
    assert [call.address for call in harness.client.sent] == ["t3:1"]


async def test_urgent_call_gets_room_where_a_less_urgent_one_waits(harness):
    """The queue at the target is another node's; this node has no waiters."""
    target = harness.view.registry.targets["t1"]
    target.load.in_flight = 0
    now = asyncio.get_running_loop().time()
    target.load.apply_report(loads.LoadReport(1, 3, 1, 1.0), now, now)
    order, read = await start_calls(harness, [("order", None), ("read", None)])
    assert (await read).status == 200
    (call,) = harness.client.sent
    assert call.path.startswith("/read/")
    order.cancel()


@pytest.mark.parametrize(
    "urgencies",
    [
        pytest.param({}, id="the same for all"),
        pytest.param({"read": 3, "order": 2}, id="others"),
    ],
)
async def test_priorities_may_change_while_calls_wait(harness, urgencies):
    tasks = await start_calls(harness, ALL_ROUTES)
    give_priorities(harness, urgencies)
    tasks += await start_calls(harness, ALL_ROUTES[:1])
    free_room(harness)
    statuses = [reply.status for reply in await asyncio.gather(*tasks)]
    assert statuses[:4] == [200] * 4
    assert statuses[4] in (200, 429, 503)


async def test_first_attempt_before_calls_may_wait_and_second_after(harness):
    give_priorities(harness, {})
    free_room(harness)
    for _ in range(30):
        harness.forwarder._retry_budget.earn("pool", 1)

    async def refuse(call):
        give_priorities(harness, URGENCIES)
        return test_forward.NOT_RUN

    harness.add_target("t3", slots=1)
    harness.client.script = [refuse, test_forward.make_answer()]
    assert (await harness.serve("read")).status == 200


def set_owners(harness, first, second, revision):
    """Gives the lower half of the keys one owner, the upper half another."""
    shards = []
    for index, name in enumerate((first, second)):
        owner = table.Owner(name, 1, f"{name}:1")
        start = 32768 * index
        shards.append(table.Shard(start, start + 32767, owner, revision, ""))
    harness.view.apply_table(table.ShardTable("desk", tuple(shards), revision))


@pytest.mark.parametrize(
    ("owners", "freed", "codes_found"),
    [
        pytest.param(
            ("unlisted", "t2"), "t2", {"NOT_READY"}, id="to an unlisted target"
        ),
        pytest.param(
            ("t2", "t3"), "t3", {"DEADLINE_UNREACHABLE"}, id="off a full target"
        ),
    ],
)
async def test_moving_shard_holds_up_no_call_of_another(
    harness, owners, freed, codes_found
):
    set_owners(harness, "t2", "t2", 2)
    first = await start_calls(harness, [("lookup", 5)] * 2)
    (other,) = await start_calls(harness, [("lookup", 40000)])
    harness.add_target("t3", "desk", slots=1)
    set_owners(harness, *owners, 3)
    harness.view.registry.targets[freed].load.in_flight = 0
    reply = await asyncio.wait_for(
        other, 3 * waiting_room.CHECK_INTERVAL_SECONDS
    )
    assert reply.status == 200
    assert [call.address for call in harness.client.sent] == [f"{freed}:1"]
    replies = await asyncio.gather(*first)
    assert {reply.code.name for reply in replies} == codes_found


async def test_key_without_owner_joins_no_queue(harness):
    (pooled,) = await start_calls(harness, [("lookup", None)])
    harness.set_owner("unlisted", fence=2, revision=2)
    reply = await harness.serve("lookup", key=5)
    assert reply.code is codes.ResultCode.NOT_READY
    await pooled
    assert len(find_waits(harness)) == 1


@pytest.mark.parametrize(
    ("objective", "tries"),
    [
        pytest.param(0.5, 3, id="long queue"),
        pytest.param(30.0, 4, id="too little time"),
    ],
)
async def test_news_of_room_lets_few_calls_try_in_vain(
    harness, monkeypatch, objective, tries
):
    routes = tuple(
        dataclasses.replace(
            test_forward.ROUTES[0],
            name=f"r{index}",
            prefix=f"/r{index}/",
            objective=objective,
            urgency=index,
        )
        for index in range(4)
    )
    harness.view.routes = match.RouteTable(
        config.Configuration(1, routes, test_forward.SERVICES, 1000)
    )
    monkeypatch.setattr(waiting_room, "CHECK_INTERVAL_SECONDS", 9.0)
    tasks = await start_calls(harness, [(r.name, None) for r in routes])
    room = harness.forwarder.waiting_room
    tried = []
    select = room._selector.select

    async def count_try(state):
        tried.append(state.route.name)
        return await select(state)

    monkeypatch.setattr(room._selector, "select", count_try)
    room.tell_of_room("pool", "t1")
    await asyncio.sleep(0.02)
    assert tried == [route.name for route in routes][:tries]
    free_room(harness)
    room.tell_of_room("pool", "t1")
    replies = await asyncio.gather(*tasks)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("length", [100_000, 200 * bodies.MIB, None])
async def test_call_with_a_body_that_is_passed_on_may_wait(harness, length):
    stream = test_forward.FakeStream(True)
    stream.length = length
    task = asyncio.create_task(harness.serve("read", stream=stream))
    await asyncio.sleep(0.02)
    free_room(harness)
    assert (await task).status == 200
    assert find_waits(harness)[0]["outcome"] == waiting_room.GRANTED


async def test_call_is_refused_at_its_latest_start(harness, monkeypatch):
    monkeypatch.setattr(waiting_room, "CHECK_INTERVAL_SECONDS", 9.0)
    async with asyncio.timeout(0.8):
        reply = await harness.serve("read")
    assert reply.code is codes.ResultCode.DEADLINE_UNREACHABLE


async def test_queue_bound_follows_the_priorities_in_force(harness):
    free_room(harness)
    await harness.serve("read")
    routes = tuple(
        dataclasses.replace(route, objective=8.0, urgency=2 + index)
        for index, route in enumerate(test_forward.ROUTES)
    )
    harness.view.routes = match.RouteTable(
        config.Configuration(2, routes, test_forward.SERVICES, 1000)
    )
    await harness.serve("read")
    bounds = harness.forwarder._selector.queue_bounds
    assert bounds.seconds("pool", 0, 0.1) == pytest.approx(4.0)


@pytest.mark.parametrize("failure", ["", "reset"])
async def test_end_of_a_large_answer_lets_a_call_try(
    harness, monkeypatch, failure
):
    monkeypatch.setattr(waiting_room, "CHECK_INTERVAL_SECONDS", 9.0)
    free_room(harness)
    stream = test_forward.FakeAnswerStream(failure, False)
    harness.client.script.insert(0, test_forward._make_streamed_answer(stream))
    await harness.serve("order")
    target = harness.view.registry.targets["t1"]
    target.load.in_flight = FULL
    (task,) = await start_calls(harness, [("read", None)])
    target.load.in_flight = 1
    stream.report_end()
    assert (await asyncio.wait_for(task, 0.3)).status == 200


@pytest.mark.parametrize(
    ("limit", "value", "body"),
    [("MAX_WAITING_CALLS", 3, b""), ("MAX_WAITING_BYTES", 35, b"0123456789")],
)
async def test_crowded_queue_gives_way_at_a_full_node(
    harness, monkeypatch, limit, value, body
):
    monkeypatch.setattr(waiting_room, limit, value)
    tasks = []
    for route, key in [("read", None)] * 3 + [("urgent", 5)]:
        call = harness.serve(route, key=key, body=body)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)
    free_room(harness)
    statuses = [reply.status for reply in await asyncio.gather(*tasks)]
    assert statuses == [200, 200, 429, 200]
