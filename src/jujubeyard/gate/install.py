"""Updates the gate's tables to the installed plan and configuration."""

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.admission import queue
from jujubeyard.admission import ramp
from jujubeyard.events import kinds
from jujubeyard.gate import lifecycle
from jujubeyard.gate import replies
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import tables as plan_tables


def apply_plan(gate: state.GateState) -> None:
    """Applies the newest plan and configuration to the gate's tables."""
    plan = gate.follower.plan
    config = gate.follower.config
    if plan.witness_sets:
        gate.lease.use_witnesses(plan.witness_sets[-1])
    _install_targets(gate, plan, config)
    _install_queues(gate)
    _install_shards(gate, plan, config)
    gate.gate_links.set_peers(_peer_addresses(gate, plan))
    gate.has_inactive_shards = True
    gate.renew_now = True


def _peer_addresses(gate, plan: plan_tables.Plan) -> set[str]:
    return {
        row.address
        for holder, row in plan.gates.items()
        if holder != gate.holder
    }


def _install_targets(gate, plan, config) -> None:
    for row in gate.targets.values():
        holding = plan.holdings.get(row.name)
        if holding is None or holding.gate != gate.holder:
            _release_target(gate, row)
    for holding in plan.holdings.values():
        if holding.gate != gate.holder:
            continue
        target = config.targets.get(holding.target)
        if target is not None:
            _install_target(gate, holding, target, config)
    drop_released_targets(gate)


def _release_target(gate: state.GateState, row: tables.TargetRow) -> None:
    if row.lifecycle.state == lifecycle.RELEASING:
        return
    row.lifecycle.release()
    if row.acquire_task is not None:
        row.acquire_task.cancel()
    gate.runtime.record(
        kinds.EventKind.TARGET_RELEASED,
        target=row.name,
        version=row.version,
    )


def drop_released_targets(gate: state.GateState) -> None:
    """Drops releasing targets that have no calls in flight any more."""
    now = clock.boottime()
    for name in list(gate.targets):
        row = gate.targets[name]
        if row.lifecycle.state == lifecycle.RELEASING and not row.in_flight:
            gate.released_targets[name] = tables.ReleasedTarget(
                row.latest_possible_end(now),
                row.ramp.limit,
                row.upstream.incarnation,
            )
            row.lifecycle.detach()
            gate.tasks.spawn(row.upstream.close())
            del gate.targets[name]


def _install_target(gate, holding, target, config) -> None:
    service = config.services[target.service]
    row = gate.targets.get(target.name)
    if row is not None and row.upstream.address != target.address:
        _release_target(gate, row)
        row.lifecycle.detach()
        gate.tasks.spawn(row.upstream.close())
        row = None
    if row is None:
        row = _make_target(gate, holding, target, service)
        gate.targets[target.name] = row
    if row.version != holding.version:
        row.version = holding.version
        row.previous = list(holding.previous)
        row.inherited_limit = 0
        row.lifecycle.reacquire()
    if row.service is not service:
        row.service = service
        row.ramp.configure(
            service.cold_slots, service.slots, service.warm_calls
        )
    _install_drain(row, target)


def _install_drain(
    row: tables.TargetRow, target: config_tables.TargetRow
) -> None:
    if not target.drained:
        row.drained_since = None
    elif row.drained_since is None:
        row.drained_since = clock.boottime()


def _make_target(gate, holding, target, service) -> tables.TargetRow:
    def may_send() -> bool:
        return gate.lease.is_valid(clock.boottime())

    return tables.TargetRow(
        target.name,
        service,
        None,
        holding.version,
        list(holding.previous),
        upstream.Upstream(
            target.address,
            service.connections,
            may_send,
            clock.boottime,
            gate.answer_reader,
        ),
        ramp.ConcurrencyRamp(
            service.cold_slots, service.slots, service.warm_calls
        ),
        lifecycle.TargetLifecycle(),
    )


def _install_queues(gate: state.GateState) -> None:
    targets_by_queue: dict[str, list[str]] = {}
    capacity: dict[str, int] = {}
    for row in gate.targets.values():
        name = row.name if row.service.keyed else row.service.name
        targets_by_queue.setdefault(name, []).append(row.name)
        capacity[name] = row.service.queue
    for name, targets in targets_by_queue.items():
        queue_row = gate.queues.get(name)
        if queue_row is None:
            queue_row = tables.QueueRow(
                name, queue.AdmissionQueue(capacity[name])
            )
            gate.queues[name] = queue_row
        queue_row.targets = targets
        queue_row.waiting.capacity = capacity[name]
    for name in gate.queues.keys() - targets_by_queue.keys():
        _refuse_queued_calls(gate, gate.queues.pop(name))


def _refuse_queued_calls(gate: state.GateState, row: tables.QueueRow) -> None:
    for entry in row.waiting.entries():
        row.waiting.remove(entry)
        replies.send_refusal(gate, entry.item, codes.ResultCode.MOVED)


def _install_shards(gate, plan, config) -> None:
    owned: set[state.ShardKey] = set()
    for service in config.services.values():
        table = plan.shards.get(service.name)
        if table is None:
            continue
        for shard, owner in enumerate(table.owners):
            row = gate.targets.get(owner)
            if row is None or row.lifecycle.state == lifecycle.RELEASING:
                continue
            key = (service.name, shard)
            owned.add(key)
            _install_shard(gate, key, owner, table)
    for key in gate.shards.keys() - owned:
        _release_shard(gate, gate.shards.pop(key))


def _install_shard(gate, key: state.ShardKey, owner: str, table) -> None:
    service, shard = key
    version = table.versions[shard]
    row = gate.shards.get(key)
    if row is not None and (row.target, row.version) == (owner, version):
        return
    parked = []
    if row is not None:
        parked = row.parked
        row.parked = []
        _release_shard(gate, row)
    gate.shards[key] = tables.ShardRow(
        service,
        shard,
        owner,
        version,
        list(table.previous.get(shard, ())),
        parked=parked,
    )
    gate.has_parked_calls = True
    _park_queued_calls(gate, key)


def _park_queued_calls(gate: state.GateState, key: state.ShardKey) -> None:
    """Moves the queued calls of a shard to its parked calls."""
    row = gate.shards[key]
    for queue_row in gate.queues.values():
        for entry in queue_row.waiting.entries():
            call = entry.item
            if (call.call.service, call.call.shard) == key:
                queue_row.waiting.remove(entry)
                call.queue_entry = None
                row.parked.append(call)


def _release_shard(gate: state.GateState, row: tables.ShardRow) -> None:
    for call in row.parked:
        replies.send_refusal(gate, call, codes.ResultCode.MOVED)
    key = (row.service, row.shard)
    for queue_row in gate.queues.values():
        for entry in queue_row.waiting.entries():
            call = entry.item
            if (call.call.service, call.call.shard) == key:
                if key not in gate.shards:
                    queue_row.waiting.remove(entry)
                    replies.send_refusal(gate, call, codes.ResultCode.MOVED)
    if row.is_active:
        gate.runtime.record(
            kinds.EventKind.SHARD_RELEASED,
            service=row.service,
            shard=row.shard,
            target=row.target,
            epoch=row.version,
        )
