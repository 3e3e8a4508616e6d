"""Lets targets and shards go to other gates, once it is safe."""

from jujubeyard import clock
from jujubeyard.gate import install
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.link import messages

MILLISECONDS = 1000.0


def release_target(
    gate: state.GateState, request: messages.ReleaseTarget
) -> messages.ReleaseTargetReply:
    """Answers the next holder of a target.

    The target is released once the plan that takes it away is installed and
    no call of this gate runs at the target.
    """
    if gate.follower.plan_version < request.below_version:
        gate.follower.resubscribe()
        return _not_released(request)
    install.drop_released(gate)
    if request.target in gate.targets:
        return _not_released(request)
    now = clock.boottime()
    ids, horizons = _export_target(gate, request.target)
    left = gate.left.get(request.target, tables.LeftRow(now, 0, ""))
    busy = max(0.0, left.busy_until - now)
    return messages.ReleaseTargetReply(
        request.query,
        True,
        ids,
        horizons,
        busy * MILLISECONDS,
        left.limit,
        left.incarnation,
    )


def _not_released(request) -> messages.ReleaseTargetReply:
    return messages.ReleaseTargetReply(request.query, False, [], [], 0.0, 0, "")


def _export_target(gate: state.GateState, target: str) -> tuple[list, list]:
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
    """Answers the gate of the next owner of shards.

    A shard is released once the plan that takes it away is installed, this
    gate is its former owner's only sender, and no call of the shard can still
    run there.
    """
    released: list[int] = []
    row = gate.targets.get(request.target)
    known = gate.follower.plan_version >= request.below_version
    if known and row is not None and row.life.is_settled:
        now = clock.boottime()
        released = [
            shard
            for shard in request.shards
            if _is_released(row, shard, request.below_version, now)
        ]
        if len(released) < len(request.shards):
            row.probe_now = True
    if not known:
        gate.follower.resubscribe()
    ids, horizons = gate.ids.export(request.service, set(released))
    return messages.ReleaseShardsReply(request.query, released, ids, horizons)


def _is_released(
    row: tables.TargetRow, shard: int, below: int, now: float
) -> bool:
    if not row.service.keyed:
        return True
    if row.service.checks_grants and now >= _end_of_grants(row, shard):
        return True
    if _has_calls(row, shard, below):
        return False
    if row.service.checks_grants:
        revoked = shard not in row.grants.acked
        return revoked and shard not in row.grants.running
    unknown = [ghost.until for ghost in row.ghosts if ghost.shard == shard]
    return now >= max([row.busy_until, *unknown])


def _end_of_grants(row: tables.TargetRow, shard: int) -> float:
    return max(row.grants.ends.get(shard, 0.0), row.busy_until)


def _has_calls(row: tables.TargetRow, shard: int, below: int) -> bool:
    return any(
        call.call.shard == shard and call.epoch < below
        for call in row.in_flight
    )
