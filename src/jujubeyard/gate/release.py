"""Releases targets and shards to other gates, once it is safe."""

from jujubeyard import clock
from jujubeyard.gate import install
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import messages

MILLISECONDS_PER_SECOND = 1000.0


def release_target(
    gate: state.GateState, request: messages.ReleaseTarget
) -> messages.ReleaseTargetReply:
    """Handles a request of the next holder to release a target.

    The target is released once the plan that moves it to another gate is
    installed here and no call of this gate is in flight at the target. Calls
    of unknown outcome may still run; the reply says by when they have ended.
    """
    if gate.follower.plan_version < request.below_version:
        gate.follower.resubscribe()
        return _not_released(request)
    install.drop_released_targets(gate)
    if request.target in gate.targets:
        return _not_released(request)
    now = clock.boottime()
    ids, horizons = _export_request_ids(gate, request.target)
    released = gate.released_targets.get(
        request.target, tables.ReleasedTarget(now, 0, "")
    )
    busy = max(0.0, released.busy_until - now)
    return messages.ReleaseTargetReply(
        request.query,
        True,
        ids,
        horizons,
        busy * MILLISECONDS_PER_SECOND,
        released.limit,
        released.incarnation,
    )


def _not_released(request) -> messages.ReleaseTargetReply:
    return messages.ReleaseTargetReply(request.query, False, [], [], 0.0, 0, "")


def _export_request_ids(
    gate: state.GateState, target: str
) -> tuple[list, list]:
    plan = gate.follower.plan
    holding = plan.holdings.get(target)
    if holding is None:
        return [], []
    table = plan.shards.get(holding.service)
    shards = {
        shard
        for shard, owner in enumerate(table.owners if table else ())
        if owner == target or target in table.previous.get(shard, ())
    }
    return gate.ids.export(holding.service, shards)


def release_shards(
    gate: state.GateState, request: messages.ReleaseShards
) -> messages.ReleaseShardsReply:
    """Handles a request of the next owner's gate to release shards.

    A shard is released once the plan that moves it to another owner is
    installed here, this gate is the only sender to the former owner, and no
    call of the shard can still run there.
    """
    released: list[int] = []
    row = gate.targets.get(request.target)
    has_plan = gate.follower.plan_version >= request.below_version
    if has_plan and row is not None and row.lifecycle.is_sole_sender:
        now = clock.boottime()
        released = [
            shard
            for shard in request.shards
            if _is_released(row, shard, request.below_version, now)
        ]
        if len(released) < len(request.shards):
            row.probe_now = True
    if not has_plan:
        gate.follower.resubscribe()
    ids, horizons = gate.ids.export(request.service, set(released))
    return messages.ReleaseShardsReply(request.query, released, ids, horizons)


def _is_released(
    row: tables.TargetRow, shard: int, below_version: int, now: float
) -> bool:
    if not row.service.keyed:
        return True
    if row.service.checks_grants and now >= _grants_expire_at(row, shard):
        return True
    if _has_calls(row, shard, below_version):
        return False
    if row.service.checks_grants:
        revoked = shard not in row.grants.acked
        return revoked and shard not in row.grants.running
    ends = [call.ends_by for call in row.abandoned if call.shard == shard]
    return now >= max([row.busy_until, *ends])


def _grants_expire_at(row: tables.TargetRow, shard: int) -> float:
    return max(row.grants.expire_at.get(shard, 0.0), row.busy_until)


def _has_calls(row: tables.TargetRow, shard: int, below_version: int) -> bool:
    return any(
        call.call.shard == shard and call.epoch < below_version
        for call in row.in_flight
    )
