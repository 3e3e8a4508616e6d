"""Encoding of the datagrams that nodes exchange with the leader.

Nodes send reports to the leader; the leader sends updates and beacons; target
loads travel both ways. Any datagram may be lost: reports and beacons are sent
periodically, and beacons reveal missed updates.
"""

import dataclasses
import functools

import cbor2

from jujubeyard import fields
from jujubeyard.node import protocol
from jujubeyard.ownership import demand
from jujubeyard.ownership import table
from jujubeyard.store import revisions
from jujubeyard.targets import loads

MAX_BYTES = 1400
MAX_UPDATE_SHARDS = 20
"""Number of shards that fit into a datagram if all owners differ."""

REPORT = "report"
UPDATE = "update"

BEACON = "beacon"
ERA_UPDATE = "era update"
ERA_BEACON = "era beacon"
"""Kinds with revisions that hold an era. Nodes of versions that know no eras
ignore them, and read tables from the store."""

LOADS = "loads"
PRESSURE = "pressure"
PERCENT = 100.0
MILLISECONDS = 1000.0
MAX_COUNT = 1_000_000_000
MAX_WORK_SECONDS = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """The revisions of the leader's tables and store mirrors.

    Attributes:
        tables: Revision of the shard table by keyed service.
        items: Revision of the latest change by prefix of the store.
    """

    tables: dict[str, int]
    items: dict[str, int]

    @property
    def era(self) -> int:
        """The newest era of the store in the revisions."""
        latest = max((*self.tables.values(), *self.items.values()), default=0)
        return revisions.era_of(latest)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoads:
    """Load reports of targets that nodes received.

    Attributes:
        reports: The reports with their ages.
    """

    reports: tuple[loads.AgedReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RefusingTarget:
    """The share of calls that a target refuses though it has room.

    Attributes:
        target_id: The target.
        level: The share.
        age_seconds: Time since it was observed.
    """

    target_id: str
    level: float
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceQueueLimit:
    """The number of calls that can wait at each target of a service.

    Attributes:
        service: Name of the service.
        waiting: Number of calls.
        age_seconds: Time since a target was full.
    """

    service: str
    waiting: float
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pressure:
    """What nodes learned of the room at targets.

    Nodes of versions that don't know it ignore it.

    Attributes:
        refusing: Targets that refuse calls.
        limits: Queue limits of services.
    """

    refusing: tuple[RefusingTarget, ...]
    limits: tuple[ServiceQueueLimit, ...]


Datagram = demand.Report | table.Update | Beacon | TargetLoads | Pressure


@functools.singledispatch
def encode(message: Datagram) -> bytes:
    """Returns the encoded datagram of a message."""
    raise TypeError(f"cannot encode as a datagram: {message!r}")


@encode.register
def _(message: demand.Report) -> bytes:
    return cbor2.dumps([REPORT, message.service, message.calls, message.work])


@encode.register
def _(message: table.Update) -> bytes:
    owners = list(dict.fromkeys(shard.owner for shard in message.shards))
    indexes = {owner: index for index, owner in enumerate(owners)}
    has_era = revisions.era_of(message.revision) > 0
    return cbor2.dumps(
        [
            ERA_UPDATE if has_era else UPDATE,
            message.service,
            message.base,
            message.revision,
            message.parts,
            [[owner.target_id, owner.born, owner.address] for owner in owners],
            [
                [shard.first, shard.last, indexes[shard.owner], shard.fence]
                for shard in message.shards
            ],
        ]
    )


@encode.register
def _(message: Beacon) -> bytes:
    kind = ERA_BEACON if message.era else BEACON
    return cbor2.dumps([kind, message.tables, message.items])


@encode.register
def _(message: TargetLoads) -> bytes:
    rows = [
        [
            aged.target_id,
            aged.report.running,
            aged.report.waiting,
            aged.report.slots,
            round(aged.report.slowness * PERCENT),
            round(aged.age_seconds * MILLISECONDS),
        ]
        for aged in message.reports
    ]
    return cbor2.dumps([LOADS, rows])


@encode.register
def _(message: Pressure) -> bytes:
    refusing = [
        [
            row.target_id,
            round(row.level * PERCENT),
            round(row.age_seconds * MILLISECONDS),
        ]
        for row in message.refusing
    ]
    limits = [
        [row.service, row.waiting, round(row.age_seconds * MILLISECONDS)]
        for row in message.limits
    ]
    return cbor2.dumps([PRESSURE, refusing, limits])


def decode(data: bytes) -> Datagram:
    """Returns the message that a datagram contains.

    Raises:
        errors.FormatError: The datagram is malformed or of an unknown kind.
    """
    with fields.reject_malformed("malformed datagram"):
        kind, *parts = _load(data)
        return DECODERS[kind](*parts)


def _load(data: bytes) -> list:
    """Returns the CBOR array that a datagram contains.

    Raises:
        ValueError: The datagram isn't a CBOR array.
    """
    try:
        message = cbor2.loads(data)
    except cbor2.CBORDecodeError as exc:
        raise ValueError(str(exc)) from exc
    if not isinstance(message, list):
        raise ValueError("not an array")
    return message


def _decode_report(service, calls, work) -> demand.Report:
    return demand.Report(
        fields.check_name(service),
        {
            fields.check_integer(
                bucket, maximum=demand.BUCKETS - 1
            ): fields.check_integer(count, maximum=MAX_COUNT)
            for bucket, count in calls.items()
        },
        {
            fields.check_name(name): (
                fields.check_integer(count, maximum=MAX_COUNT),
                fields.check_number(seconds, MAX_WORK_SECONDS),
            )
            for name, (count, seconds) in work.items()
        },
    )


def _decode_update(
    max_revision, service, base, revision, parts, owners, rows
) -> table.Update:
    decoded_owners = [table.decode_owner(row) for row in owners]
    shards = tuple(
        table.decode_shard([*row, ""], decoded_owners) for row in rows
    )
    return table.Update(
        fields.check_name(service),
        fields.check_integer(base, maximum=max_revision),
        fields.check_integer(revision, maximum=max_revision),
        shards,
        fields.check_integer(parts, 1, protocol.KEY_COUNT),
    )


def _decode_beacon(max_revision, tables, items) -> Beacon:
    return Beacon(
        _decode_revisions(tables, max_revision),
        _decode_revisions(items, max_revision),
    )


def _decode_revisions(latest, max_revision) -> dict[str, int]:
    return {
        fields.check_name(name): fields.check_integer(
            revision, maximum=max_revision
        )
        for name, revision in latest.items()
    }


def _decode_loads(rows) -> TargetLoads:
    return TargetLoads(tuple(_decode_aged_report(*row) for row in rows))


def _decode_aged_report(
    target_id, running, waiting, slots, slowness, age
) -> loads.AgedReport:
    report = loads.LoadReport(
        fields.check_integer(running, maximum=MAX_COUNT),
        fields.check_integer(waiting, maximum=MAX_COUNT),
        fields.check_integer(slots, 1, MAX_COUNT),
        fields.check_number(slowness, MAX_COUNT) / PERCENT,
    )
    age_seconds = fields.check_number(age, MAX_COUNT) / MILLISECONDS
    return loads.AgedReport(fields.check_name(target_id), report, age_seconds)


def _decode_pressure(refusing, limits) -> Pressure:
    return Pressure(
        tuple(_decode_refusing_target(*row) for row in refusing),
        tuple(_decode_queue_limit(*row) for row in limits),
    )


def _decode_refusing_target(target_id, level, age) -> RefusingTarget:
    return RefusingTarget(
        fields.check_name(target_id),
        fields.check_number(level, PERCENT) / PERCENT,
        fields.check_number(age, MAX_COUNT) / MILLISECONDS,
    )


def _decode_queue_limit(service, waiting, age) -> ServiceQueueLimit:
    return ServiceQueueLimit(
        fields.check_name(service),
        fields.check_number(waiting, MAX_COUNT),
        fields.check_number(age, MAX_COUNT) / MILLISECONDS,
    )


DECODERS = {
    REPORT: _decode_report,
    UPDATE: functools.partial(_decode_update, fields.MAX_INTEGER),
    BEACON: functools.partial(_decode_beacon, fields.MAX_INTEGER),
    ERA_UPDATE: functools.partial(_decode_update, revisions.MAX_REVISION),
    ERA_BEACON: functools.partial(_decode_beacon, revisions.MAX_REVISION),
    LOADS: _decode_loads,
    PRESSURE: _decode_pressure,
}
