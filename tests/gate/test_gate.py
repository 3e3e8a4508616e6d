"""Tests a gate with a fake entry, a fake controller and stand-in targets."""

import asyncio
import contextlib
import time
import uuid

import pytest

from jujubeyard import codes
from jujubeyard import settings
from jujubeyard.events import findings
from jujubeyard.events import kinds
from jujubeyard.events import timeline
from jujubeyard.gate import core
from jujubeyard.gate import dispatch
from jujubeyard.lease import timing
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.load import generator
from jujubeyard.plan import codec
from jujubeyard.plan import planner
from jujubeyard.plan import tables
from jujubeyard.standins import target
from jujubeyard.store import records
from tests.utils import builders
from tests.utils import processes

Code = codes.ResultCode


class FakeController:
    """Sends lease promises and a plan that assigns all targets to the gate."""

    def __init__(self, manifest: dict, drained: list[str]):
        self.manifest = manifest
        self.config = records.ConfigRecord(1, manifest, [], drained, {}, [])
        self.plan: tables.Plan | None = None
        self.sends_promises = True
        self.renewals: list[messages.Renew] = []

    def handle(self, peer, message) -> None:
        if isinstance(message, messages.Subscribe):
            peer.send(messages.ConfigPush(1, self.config.encode()))
        if not isinstance(message, messages.Renew):
            return
        self.renewals.append(message)
        if self.plan is None:
            self.plan = self._make_plan(message)
        if message.plan_version < self.plan.version:
            body = codec.encode_plan(self.plan)
            peer.send(messages.PlanPush(self.plan.version, body))
        if self.sends_promises:
            peer.send(
                messages.Promise(
                    message.renewal_id, "vm-0/1", True, self.plan.version, 1
                )
            )

    def _make_plan(self, renew: messages.Renew) -> tables.Plan:
        gate = builders.make_gate(
            "vm0", holder=renew.holder, address=renew.address
        )
        cluster = builders.make_cluster_state(
            builders.make_config(self.manifest), [gate], controllers=1
        )
        plan = planner.make_plan(tables.Plan(), cluster)
        plan.witness_sets[0].members[0].name = "vm-0/1"
        return plan


class FakeEntry:
    """Sends calls to a gate over a link, as an entry does."""

    def __init__(self, entry_link: link.Link):
        self.link = entry_link

    async def call(
        self, kind: str, request_id: str = "", **fields
    ) -> messages.CallReply:
        row = {
            "query": 0,
            "service": "desk",
            "kind": kind,
            "shard": 0,
            "key": "k",
            "member": "m",
            "request_id": request_id,
            "budget": 2000.0,
            "plan_version": 1,
            "method": "POST",
            "path": "/x",
            "content_type": "text/plain",
            "body": request_id.encode(),
            **fields,
        }
        reply = await self.link.send_request(messages.Call(**row))
        return reply


@contextlib.asynccontextmanager
async def running_gate(
    targets: int = 1,
    service: dict | None = None,
    drained: tuple[str, ...] = (),
    events_file: str = "",
    **target_settings,
):
    """Runs a gate and yields a FakeEntry and the FakeController."""
    manifest = builders.make_manifest(targets, shards=4, **(service or {}))
    async with contextlib.AsyncExitStack() as stack:
        for row in manifest["service"][0]["target"]:
            row["address"] = processes.make_address()
            cfg = target.TargetSettings(
                name=row["name"], listen=row["address"], **target_settings
            )
            if target_settings.get("slots", 6) > 0:
                standin = processes.serving(target.serve, cfg)
                await stack.enter_async_context(standin)
        controller = FakeController(manifest, list(drained))
        controller_peer = processes.FakePeer("controller", controller.handle)
        await stack.enter_async_context(controller_peer)
        cfg = settings.GateSettings(
            **processes.make_settings(),
            controllers=[controller_peer.address],
            shutdown_seconds=0.0,
            events_file=events_file,
        )
        await stack.enter_async_context(processes.serving(core.serve, cfg))
        own_identity = processes.make_identity("entry")
        entry_link = await processes.connect_when_ready(
            cfg.listen, own_identity, lambda *_: None
        )
        reader = asyncio.create_task(entry_link.run())
        await processes.wait_for(
            lambda: (
                controller.renewals
                and controller.renewals[-1].settled_version > 0
            )
        )
        yield FakeEntry(entry_link), controller
        entry_link.close()
        await reader


def make_uuid7(seconds_ago: float) -> str:
    value = uuid.UUID(generator.make_request_id()).int
    milliseconds = int((time.time() - seconds_ago) * 1000)
    value = value & ((1 << 80) - 1) | milliseconds << 80
    return str(uuid.UUID(int=value))


async def test_large_body_is_returned_whole():
    async with running_gate(work_ms=1.0) as (entry, _):
        reply = await entry.call("read", body=b"x" * 100_000)
    assert (reply.code, reply.status) == (Code.OK, 200)
    assert reply.body.count(b"x") == 100_000 + 1


REQUEST_IDS = {
    "fresh": (generator.make_request_id, Code.OK),
    "issued in the future": (lambda: make_uuid7(-30.0), Code.BAD_REQUEST_ID),
    "not a UUID": (lambda: "order-1", Code.BAD_REQUEST_ID),
    "older than the dedupe window": (
        lambda: make_uuid7(3600.0),
        Code.DUPLICATE_UNDECIDED,
    ),
}


async def test_request_ids_are_validated():
    async with running_gate(work_ms=1.0) as (entry, _):
        for name, (make, expected) in REQUEST_IDS.items():
            reply = await entry.call("write", make())
            assert reply.code == expected, name


async def test_duplicate_joins_the_first_call():
    async with running_gate(work_ms=50.0) as (entry, _):
        request_id = generator.make_request_id()
        first, second = await asyncio.gather(
            entry.call("write", request_id), entry.call("write", request_id)
        )
        third = await entry.call("write", request_id)
    assert [first.code, second.code, third.code] == [
        Code.OK,
        Code.DUPLICATE_JOINED,
        Code.DUPLICATE_JOINED,
    ]
    assert first.body == second.body == third.body


async def test_request_id_of_refused_call_can_be_reused():
    async with running_gate(work_ms=1.0) as (entry, _):
        request_id = generator.make_request_id()
        late = await entry.call("write", request_id, budget=0.0)
        reply = await entry.call("write", request_id)
    assert (late.code, reply.code) == (Code.DEADLINE_PAST, Code.OK)


async def test_urgent_call_overtakes_queued_calls():
    async with running_gate(
        work_ms=30.0, service={"slots": 1, "cold_slots": 1}
    ) as (entry, _):
        order = []

        async def send(kind: str, name: str) -> None:
            await entry.call(kind, generator.make_request_id())
            order.append(name)

        tasks = [asyncio.create_task(send("write", f"b{n}")) for n in range(4)]
        await asyncio.sleep(0.005)
        tasks.append(asyncio.create_task(send("read", "urgent")))
        await asyncio.gather(*tasks)
    assert order.index("urgent") <= 1


async def test_full_queue_refuses_least_urgent_call():
    async with running_gate(
        work_ms=80.0, service={"queue": 2, "slots": 1, "cold_slots": 1}
    ) as (entry, _):
        writes = [
            asyncio.create_task(
                entry.call("write", generator.make_request_id())
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0.02)
        read = asyncio.create_task(entry.call("read"))
        replies = await asyncio.gather(*writes)
        assert (await read).code == Code.OK
    reply_codes = sorted(reply.code for reply in replies)
    assert reply_codes == [Code.OK, Code.OK, Code.OVERLOADED]


async def test_call_that_would_miss_its_deadline_is_refused_early():
    async with running_gate(
        work_ms=100.0, service={"slots": 1, "cold_slots": 1}
    ) as (entry, _):
        await entry.call("read")
        tasks = [asyncio.create_task(entry.call("read")) for _ in range(6)]
        await asyncio.sleep(0.01)
        started = time.monotonic()
        reply = await entry.call("read", budget=150.0)
        waited = time.monotonic() - started
        await asyncio.gather(*tasks)
    assert reply.code == Code.DEADLINE_UNREACHABLE
    assert waited < 0.15


async def test_unreachable_target_is_reported_lost_and_calls_are_not_run():
    async with running_gate(slots=0) as (entry, controller):
        reply = await entry.call("read")
        assert codes.CODE_INFO[Code(reply.code)].not_run
        await processes.wait_for(
            lambda: controller.renewals[-1].lost == ["desk-0"]
        )
        reply = await entry.call("read")
        assert reply.code == Code.NOT_READY


async def test_pooled_call_does_not_wait_for_a_drained_target():
    async with running_gate(
        work_ms=1.0, service={"keyed": False}, drained=("desk-0",)
    ) as (entry, _):
        reply = await entry.call("read", shard=-1)
        assert reply.code == Code.NOT_READY


async def test_gate_refuses_calls_while_its_lease_is_lapsed():
    async with running_gate(work_ms=1.0) as (entry, controller):
        assert (await entry.call("read")).code == Code.OK
        controller.sends_promises = False
        await asyncio.sleep(1.0)
        assert (await entry.call("read")).code == Code.LEASE_LAPSED
        controller.sends_promises = True
        await asyncio.sleep(0.5)
        assert (await entry.call("read")).code == Code.OK


@pytest.mark.parametrize("checks_grants", [True, False])
async def test_keyed_call_for_a_shard_not_held_is_answered_moved(checks_grants):
    async with running_gate(
        work_ms=1.0,
        checks_grants=checks_grants,
        service={"checks_grants": checks_grants},
    ) as (entry, _):
        assert (await entry.call("read", shard=3)).code == Code.OK
        assert (await entry.call("read", shard=77)).code == Code.MOVED
        assert (await entry.call("read", shard=-1)).code == Code.MOVED


async def test_call_cancelled_in_the_queue_is_not_sent():
    async with running_gate(
        work_ms=60.0, service={"slots": 1, "cold_slots": 1}
    ) as (entry, _):
        first = asyncio.create_task(entry.call("read"))
        await asyncio.sleep(0.02)
        waiting = asyncio.create_task(entry.call("read"))
        await asyncio.sleep(0.01)
        query = max(entry.link._pending_replies)
        entry.link.send(messages.CancelCall(query))
        reply = await waiting
        assert codes.CODE_INFO[Code(reply.code)].not_run
        assert (await first).code == Code.OK


async def test_call_not_sent_after_a_pause_is_not_recorded_as_sent(
    monkeypatch, tmp_path
):
    may_send = dispatch._may_send

    def pause_after_decision(*args) -> bool:
        allowed = may_send(*args)
        time.sleep(timing.HOLDER_LEASE_SECONDS)
        return allowed

    path = tmp_path / "events"
    async with running_gate(work_ms=1.0, events_file=str(path)) as (entry, _):
        assert (await entry.call("read")).code == Code.OK
        monkeypatch.setattr(dispatch, "_may_send", pause_after_decision)
        assert (await entry.call("read")).code == Code.LEASE_LAPSED
    history = timeline.read_histories([path])
    assert len(findings.select_events(history, kinds.EventKind.SEND)) == 1
