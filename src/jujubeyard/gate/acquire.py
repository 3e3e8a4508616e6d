"""Acquires targets from former holders, and shards from former owners."""

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

REPLY_TIMEOUT_SECONDS = 0.3
"""How long to wait for a reply of a former holder or a witness."""

RETRY_SECONDS = 0.02
"""Time between two requests to release the same target."""

UNREACHABLE_SECONDS = 0.3
"""Time without a reply of a former holder until the witnesses are asked."""

MILLISECONDS_PER_SECOND = 1000.0


def acquire_targets(gate: state.GateState, now: float) -> None:
    """Starts acquiring the targets that the plan assigns to this gate."""
    del now
    for row in gate.targets.values():
        if row.lifecycle.state != lifecycle.ACQUIRING:
            continue
        if row.acquire_task is None or row.acquire_task.done():
            row.acquire_task = gate.tasks.spawn(_acquire_target(gate, row))


async def _acquire_target(gate: state.GateState, row: tables.TargetRow) -> None:
    version = row.version
    for former in row.previous:
        if former != gate.holder:
            await _wait_for_release(gate, row, former, version)
    if row.version != version or row.lifecycle.state != lifecycle.ACQUIRING:
        return
    row.last_response_at = clock.boottime()
    row.probe_now = True
    row.ramp.restore(row.inherited_limit, row.inherited_incarnation)
    row.upstream.assume_incarnation(row.inherited_incarnation)
    row.lifecycle.acquire()
    gate.renew_now = True
    gate.runtime.record(
        kinds.EventKind.TARGET_ACQUIRED,
        target=row.name,
        version=version,
        previous=row.previous,
    )


async def _wait_for_release(gate, row, former: str, version: int) -> None:
    """Waits until a former holder releases a target or its lease expires."""
    last_reply_at = clock.boottime()
    takeover_attempt = takeover.Takeover(former, version)
    while row.version == version:
        reply = await _request_target(gate, row.name, former, version)
        now = clock.boottime()
        if reply is not None:
            last_reply_at = now
            if reply.released:
                _apply_handover(gate, row, reply)
                return
        elif now - last_reply_at >= _seconds_until_unreachable(gate, former):
            await _ask_witnesses(gate, takeover_attempt)
            if takeover_attempt.is_holder_stopped(
                gate.follower.plan, clock.boottime()
            ):
                _take_over_unreleased(gate, row, former)
                return
        await asyncio.sleep(RETRY_SECONDS)


def _seconds_until_unreachable(gate: state.GateState, former: str) -> float:
    """Returns how long a former holder may fail to reply.

    The time is 0.0 if there is no link to a holder that the plan still lists.
    """
    row = gate.follower.plan.gates.get(former)
    if row is not None and gate.gate_links.get(row.address) is None:
        return 0.0
    return UNREACHABLE_SECONDS


async def _request_target(
    gate: state.GateState, target: str, former: str, version: int
) -> messages.ReleaseTargetReply | None:
    row = gate.follower.plan.gates.get(former)
    peer = gate.gate_links.get(row.address) if row else None
    if peer is None or peer.peer_name != former:
        return None
    future = peer.send_request(messages.ReleaseTarget(0, target, version))
    return await _wait_for_reply(future)


async def _wait_for_reply(future: asyncio.Future | None):
    if future is None:
        return None
    try:
        return await asyncio.wait_for(future, REPLY_TIMEOUT_SECONDS)
    except (TimeoutError, ConnectionError):
        return None


def _apply_handover(gate, row: tables.TargetRow, reply) -> None:
    """Applies the state that the former holder sent with the release."""
    gate.ids.merge(reply.ids, reply.horizons, clock.wall())
    busy_until = clock.boottime() + reply.busy / MILLISECONDS_PER_SECOND
    row.busy_until = max(row.busy_until, busy_until)
    row.inherited_limit = reply.limit
    row.inherited_incarnation = reply.incarnation


def _take_over_unreleased(gate, row: tables.TargetRow, former: str) -> None:
    """Takes over a target whose former holder can't report its calls.

    Any call that the former holder was allowed to send may still run, and any
    request ID issued until now may belong to a call that it has sent.
    """
    longest = upstream.GRANT_SECONDS
    if not row.service.checks_grants:
        longest = row.service.max_default_deadline
    row.busy_until = max(row.busy_until, clock.boottime() + longest)
    row.inherited_limit = 0
    horizon = clock.wall() + dedupe.SKEW_SECONDS
    table = gate.follower.plan.shards.get(row.service.name)
    for shard, owner in enumerate(table.owners if table else ()):
        owners = (owner, *table.previous.get(shard, ()))
        if row.name in owners:
            gate.ids.set_horizon(row.service.name, shard, horizon)
    gate.runtime.record(
        kinds.EventKind.TAKEOVER, target=row.name, former=former
    )


async def _ask_witnesses(
    gate: state.GateState, takeover_attempt: takeover.Takeover
) -> None:
    """Asks witnesses whether the former holder's lease has expired.

    All controllers that the plan or a heartbeat names are asked.
    """
    pending = []
    for peer in list(gate.follower.pool.links.values()):
        future = peer.send_request(
            messages.Lapse(
                0, takeover_attempt.holder, takeover_attempt.below_version
            )
        )
        if future is not None:
            pending.append(future)
    if not pending:
        return
    await asyncio.wait(pending, timeout=REPLY_TIMEOUT_SECONDS)
    now = clock.boottime()
    for future in pending:
        if future.done() and future.exception() is None:
            reply = future.result()
            takeover_attempt.record_answer(
                reply.witness,
                reply.remaining / MILLISECONDS_PER_SECOND,
                reply.uptime / MILLISECONDS_PER_SECOND,
                now,
            )
        else:
            future.cancel()


def acquire_shards(gate: state.GateState, now: float) -> None:
    """Requests shards from former owners and activates those that are free."""
    if not gate.has_inactive_shards:
        return
    gate.has_inactive_shards = False
    requests: dict[tuple[str, str, int], list[int]] = {}
    for row in gate.shards.values():
        if row.is_active:
            continue
        gate.has_inactive_shards = True
        target = gate.targets[row.target]
        if not target.lifecycle.is_sole_sender:
            continue
        if row.previous:
            for former in row.previous:
                key = (row.service, former, row.version)
                requests.setdefault(key, []).append(row.shard)
        elif _is_granted(target, row, now):
            _activate(gate, row)
    for key, shards in requests.items():
        _start_shard_request(gate, key, shards)


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
    gate.runtime.record(
        kinds.EventKind.SHARD_ACTIVE,
        service=row.service,
        shard=row.shard,
        target=row.target,
        epoch=row.version,
    )
    admit.enqueue_parked(gate, row)


def _start_shard_request(gate, key: tuple[str, str, int], shards) -> None:
    if key in gate.shard_requests:
        return
    gate.shard_requests.add(key)
    task = gate.tasks.spawn(_request_shards(gate, key, shards))
    task.add_done_callback(lambda _: gate.shard_requests.discard(key))


async def _request_shards(gate, key, shards: list[int]) -> None:
    """Requests shards from the gate that holds their former owner."""
    service, former, version = key
    plan: plan_tables.Plan = gate.follower.plan
    holder = plan.gate_of(former)
    if holder is None:
        return
    request = messages.ReleaseShards(0, service, former, shards, version)
    if holder.holder == gate.holder:
        reply = release.release_shards(gate, request)
    else:
        peer = gate.gate_links.get(holder.address)
        if peer is None or peer.peer_name != holder.holder:
            return
        reply = await _wait_for_reply(peer.send_request(request))
    if reply is None:
        return
    gate.ids.merge(reply.ids, reply.horizons, clock.wall())
    for shard in reply.released:
        row = gate.shards.get((service, shard))
        if row is not None and row.version == version:
            _record_shard_release(gate, row, former)


def _record_shard_release(gate, row: tables.ShardRow, former: str) -> None:
    if former not in row.previous:
        return
    row.previous.remove(former)
    if not row.previous:
        gate.targets[row.target].probe_now = True
