"""Brings the gate's tables in line with the installed plan."""

from jujubeyard import clock
from jujubeyard import codes
from jujubeyard.admission import queue
from jujubeyard.admission import ramp
from jujubeyard.events import kinds
from jujubeyard.gate import answer
from jujubeyard.gate import lifecycle
from jujubeyard.gate import state
from jujubeyard.gate import tables
from jujubeyard.gate import upstream
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import tables as plan_tables


def install(gate: state.GateState) -> None:
    """Applies the newest plan and configuration."""
    plan = gate.follower.plan
    config = gate.follower.config
    if plan.witness_sets:
        gate.lease.use_witnesses(plan.witness_sets[-1])
    _install_targets(gate, plan, config)
    _install_queues(gate)
    _install_shards(gate, plan, config)
    gate.gates.set_peers(_peer_addresses(gate, plan))
    gate.has_pending = True
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
    drop_released(gate)


def _release_target(gate: state.GateState, row: tables.TargetRow) -> None:
    if row.life.state == lifecycle.RELEASING:
        return
    row.life.release()
    if row.acquiring is not None:
        row.acquiring.cancel()
    gate.node.record(
        kinds.EventKind.TARGET_RELEASED,
        target=row.name,
        version=row.version,
    )


def drop_released(gate: state.GateState) -> None:
    """Drops rows of targets whose calls have all ended."""
    now = clock.boottime()
    for name in list(gate.targets):
        row = gate.targets[name]
        if row.life.state == lifecycle.RELEASING and not row.in_flight:
            gate.left[name] = tables.LeftRow(
                row.end_of_unknown(now),
                row.ramp.limit,
                row.upstream.incarnation,
            )
            row.life.close()
            gate.tasks.spawn(row.upstream.close())
            del gate.targets[name]


def _install_target(gate, holding, target, config) -> None:
    service = config.services[target.service]
    row = gate.targets.get(target.name)
    if row is not None and row.upstream.address != target.address:
        _release_target(gate, row)
        row.life.close()
        gate.tasks.spawn(row.upstream.close())
        row = None
    if row is None:
        row = _make_target(gate, holding, target, service)
        gate.targets[target.name] = row
    if row.version != holding.version:
        row.version = holding.version
        row.previous = list(holding.previous)
        row.known_limit = 0
        row.life.renew()
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
        row.drained_at = None
    elif row.drained_at is None:
        row.drained_at = clock.boottime()


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
            target.address, service.connections, may_send, clock.boottime
        ),
        ramp.Ramp(service.cold_slots, service.slots, service.warm_calls),
        lifecycle.Life(),
    )


def _install_queues(gate: state.GateState) -> None:
    members: dict[str, list[str]] = {}
    capacity: dict[str, int] = {}
    for row in gate.targets.values():
        name = row.name if row.service.keyed else row.service.name
        members.setdefault(name, []).append(row.name)
        capacity[name] = row.service.queue
    for name, targets in members.items():
        held = gate.queues.get(name)
        if held is None:
            held = tables.QueueRow(name, queue.AdmissionQueue(capacity[name]))
            gate.queues[name] = held
        held.targets = targets
        held.waiting.capacity = capacity[name]
    for name in gate.queues.keys() - members.keys():
        _refuse_all(gate, gate.queues.pop(name))


def _refuse_all(gate: state.GateState, row: tables.QueueRow) -> None:
    for entry in row.waiting.entries():
        row.waiting.remove(entry)
        answer.refuse(gate, entry.item, codes.ResultCode.MOVED)


def _install_shards(gate, plan, config) -> None:
    wanted: set[state.ShardKey] = set()
    for service in config.services.values():
        table = plan.shards.get(service.name)
        if table is None:
            continue
        for shard, owner in enumerate(table.owners):
            row = gate.targets.get(owner)
            if row is None or row.life.state == lifecycle.RELEASING:
                continue
            key = (service.name, shard)
            wanted.add(key)
            _install_shard(gate, key, owner, table)
    for key in gate.shards.keys() - wanted:
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
    gate.has_parked = True
    _requeue(gate, key)


def _requeue(gate: state.GateState, key: state.ShardKey) -> None:
    """Parks the queued calls of a shard until its new owner is ready."""
    row = gate.shards[key]
    for held in gate.queues.values():
        for entry in held.waiting.entries():
            call = entry.item
            if (call.call.service, call.call.shard) == key:
                held.waiting.remove(entry)
                call.entry = None
                row.parked.append(call)


def _release_shard(gate: state.GateState, row: tables.ShardRow) -> None:
    for call in row.parked:
        answer.refuse(gate, call, codes.ResultCode.MOVED)
    key = (row.service, row.shard)
    for held in gate.queues.values():
        for entry in held.waiting.entries():
            call = entry.item
            if (call.call.service, call.call.shard) == key:
                if key not in gate.shards:
                    held.waiting.remove(entry)
                    answer.refuse(gate, call, codes.ResultCode.MOVED)
    if row.is_active:
        gate.node.record(
            kinds.EventKind.SHARD_RELEASED,
            service=row.service,
            shard=row.shard,
            target=row.target,
            epoch=row.version,
        )
