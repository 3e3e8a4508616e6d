"""Acquires targets from former holders and shards from former owners."""

import asyncio

from jujubeyard import clock
from jujubeyard.admission import dedupe
from jujubeyard.events import kinds
from jujubeyard.gate import admit
from jujubeyard.gate import lifecycle
from jujubeyard.gate import release
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream
from jujubeyard.lease import takeover
from jujubeyard.link import messages
from jujubeyard.plan import tables as plan_tables

ASK_SECONDS = 0.3
"""How long a former holder may take to answer."""

RETRY_SECONDS = 0.02
UNREACHABLE_SECONDS = 0.3
"""Silence of a former holder after which the witnesses are asked."""

MILLISECONDS = 1000.0


def acquire_targets(gate: state.GateState, now: float) -> None:
    """Starts to acquire targets that the plan gives to this gate."""
    del now
    for row in gate.targets.values():
        if row.life.state != lifecycle.ACQUIRING:
            continue
        if row.acquiring is None or row.acquiring.done():
            row.acquiring = gate.tasks.spawn(_acquire_target(gate, row))


async def _acquire_target(gate: state.GateState, row: tables.TargetRow) -> None:
    version = row.version
    for former in row.previous:
        if former != gate.holder:
            await _succeed(gate, row, former, version)
    if row.version != version or row.life.state != lifecycle.ACQUIRING:
        return
    row.answered_at = clock.boottime()
    row.probe_now = True
    row.ramp.resume(row.known_limit, row.known_incarnation)
    row.upstream.expect(row.known_incarnation)
    row.life.acquire()
    gate.renew_now = True
    gate.node.record(
        kinds.EventKind.TARGET_ACQUIRED,
        target=row.name,
        version=version,
        previous=row.previous,
    )


async def _succeed(gate, row, former: str, version: int) -> None:
    """Waits until a former holder has let a target go or has stopped."""
    heard_at = clock.boottime()
    attempt = takeover.Takeover(former, version)
    while row.version == version:
        reply = await _ask_holder(gate, row.name, former, version)
        now = clock.boottime()
        if reply is not None:
            heard_at = now
            if reply.released:
                _take_in(gate, row, reply)
                return
        elif now - heard_at >= _patience(gate, former):
            await _ask_witnesses(gate, attempt)
            if attempt.is_holder_stopped(gate.follower.plan, clock.boottime()):
                _take_over(gate, row, former)
                return
        await asyncio.sleep(RETRY_SECONDS)


def _patience(gate: state.GateState, former: str) -> float:
    """Returns how long to wait for a former holder that says nothing."""
    row = gate.follower.plan.gates.get(former)
    if row is not None and gate.gates.get(row.address) is None:
        return 0.0
    return UNREACHABLE_SECONDS


async def _ask_holder(
    gate: state.GateState, target: str, former: str, version: int
) -> messages.ReleaseTargetReply | None:
    row = gate.follower.plan.gates.get(former)
    peer = gate.gates.get(row.address) if row else None
    if peer is None or peer.peer_name != former:
        return None
    fut = peer.send_request(messages.ReleaseTarget(0, target, version))
    return await _wait(fut)


async def _wait(fut: asyncio.Future | None):
    if fut is None:
        return None
    try:
        return await asyncio.wait_for(fut, ASK_SECONDS)
    except (TimeoutError, ConnectionError):
        return None


def _take_in(gate, row: tables.TargetRow, reply) -> None:
    gate.ids.take_in(reply.ids, reply.horizons, clock.wall())
    busy_until = clock.boottime() + reply.busy / MILLISECONDS
    row.busy_until = max(row.busy_until, busy_until)
    row.known_limit = reply.limit
    row.known_incarnation = reply.incarnation


def _take_over(gate, row: tables.TargetRow, former: str) -> None:
    """Notes that nobody knows which calls the former holder has sent."""
    longest = upstream.GRANT_SECONDS
    if not row.service.checks_grants:
        longest = row.service.longest_deadline
    row.busy_until = max(row.busy_until, clock.boottime() + longest)
    row.known_limit = 0
    horizon = clock.wall() + dedupe.SKEW_SECONDS
    table = gate.follower.plan.shards.get(row.service.name)
    for shard, owner in enumerate(table.owners if table else ()):
        owners = (owner, *table.previous.get(shard, ()))
        if row.name in owners:
            gate.ids.set_horizon(row.service.name, shard, horizon)
    gate.node.record(kinds.EventKind.TAKEOVER, target=row.name, former=former)


async def _ask_witnesses(
    gate: state.GateState, attempt: takeover.Takeover
) -> None:
    """Asks all controllers that the plan or a heartbeat names."""
    asked = []
    for peer in list(gate.follower.pool.links.values()):
        fut = peer.send_request(
            messages.Lapse(0, attempt.holder, attempt.below_version)
        )
        if fut is not None:
            asked.append(fut)
    if not asked:
        return
    await asyncio.wait(asked, timeout=ASK_SECONDS)
    now = clock.boottime()
    for fut in asked:
        if fut.done() and fut.exception() is None:
            reply = fut.result()
            attempt.record_answer(
                reply.witness,
                reply.remaining / MILLISECONDS,
                reply.uptime / MILLISECONDS,
                now,
            )
        else:
            fut.cancel()


def acquire_shards(gate: state.GateState, now: float) -> None:
    """Starts to acquire shards, and activates those that are ready."""
    if not gate.has_pending:
        return
    gate.has_pending = False
    waiting: dict[tuple[str, str, int], list[int]] = {}
    for row in gate.shards.values():
        if row.is_active:
            continue
        gate.has_pending = True
        target = gate.targets[row.target]
        if not target.life.is_settled:
            continue
        if row.previous:
            for former in row.previous:
                key = (row.service, former, row.version)
                waiting.setdefault(key, []).append(row.shard)
        elif _is_granted(target, row, now):
            _activate(gate, row)
    for key, shards in waiting.items():
        _ask_for_shards(gate, key, shards)


def _is_granted(
    target: tables.TargetRow, row: tables.ShardRow, now: float
) -> bool:
    del now
    if not target.service.keyed or not target.service.checks_grants:
        return True
    return target.grants.acked.get(row.shard) == row.version


def _activate(gate: state.GateState, row: tables.ShardRow) -> None:
    row.is_active = True
    gate.renew_now = True
    gate.node.record(
        kinds.EventKind.SHARD_ACTIVE,
        service=row.service,
        shard=row.shard,
        target=row.target,
        epoch=row.version,
    )
    admit.unpark(gate, row)


def _ask_for_shards(gate, key: tuple[str, str, int], shards) -> None:
    if key in gate.asking:
        return
    gate.asking.add(key)
    task = gate.tasks.spawn(_ask_owner_gate(gate, key, shards))
    task.add_done_callback(lambda _: gate.asking.discard(key))


async def _ask_owner_gate(gate, key, shards: list[int]) -> None:
    service, former, version = key
    plan: plan_tables.Plan = gate.follower.plan
    holder = plan.gate_of(former)
    if holder is None:
        return
    request = messages.ReleaseShards(0, service, former, shards, version)
    if holder.holder == gate.holder:
        reply = release.release_shards(gate, request)
    else:
        peer = gate.gates.get(holder.address)
        if peer is None or peer.peer_name != holder.holder:
            return
        reply = await _wait(peer.send_request(request))
    if reply is None:
        return
    gate.ids.take_in(reply.ids, reply.horizons, clock.wall())
    for shard in reply.released:
        row = gate.shards.get((service, shard))
        if row is not None and row.version == version:
            _note_released(gate, row, former)


def _note_released(gate, row: tables.ShardRow, former: str) -> None:
    if former not in row.previous:
        return
    row.previous.remove(former)
    if not row.previous:
        gate.targets[row.target].probe_now = True
