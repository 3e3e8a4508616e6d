"""Encoding of the datagrams that nodes exchange with the leader.

Nodes send reports to the leader; the leader sends updates and beacons; target
loads travel both ways. Any datagram may be lost: reports and beacons are sent
periodically, and beacons reveal missed updates.
"""

import dataclasses
import functools

import cbor2

from jujubeyard import errors
from jujubeyard.ownership import demand
from jujubeyard.ownership import table
from jujubeyard.targets import loads

MAX_BYTES = 1400
MAX_UPDATE_SHARDS = 20
"""Number of shards that fit into a datagram if all owners differ."""

REPORT = "report"
UPDATE = "update"

BEACON = "beacon"
LOADS = "loads"
PERCENT = 100.0
MILLISECONDS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """The revisions of the leader's tables and store mirrors.

    Attributes:
        tables: Revision of the shard table by keyed service.
        items: Revision of the latest change by prefix of the store.
    """

    tables: dict[str, int]
    items: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoads:
    """Load reports of targets that nodes received.

    Attributes:
        reports: The reports with their ages.
    """

    reports: tuple[loads.AgedReport, ...]


Datagram = demand.Report | table.Update | Beacon | TargetLoads


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
    return cbor2.dumps(
        [
            UPDATE,
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
    return cbor2.dumps([BEACON, message.tables, message.items])


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


def decode(data: bytes) -> Datagram:
    """Returns the message that a datagram contains.

    Raises:
        errors.FormatError: The datagram is malformed or of an unknown kind.
    """
    try:
        kind, *fields = cbor2.loads(data)
        if kind == REPORT:
            return _decode_report(*fields)
        if kind == UPDATE:
            return _decode_update(*fields)
        if kind == BEACON:
            return _decode_beacon(*fields)
        if kind == LOADS:
            return _decode_loads(*fields)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        AttributeError,
        IndexError,
    ) as exc:
        raise errors.FormatError(f"malformed datagram: {exc!r}") from exc
    raise errors.FormatError(f"unknown kind of datagram: {kind!r}")


def _decode_report(service, calls, work) -> demand.Report:
    return demand.Report(
        str(service),
        {int(bucket): int(count) for bucket, count in calls.items()},
        {
            str(name): (int(count), float(seconds))
            for name, (count, seconds) in work.items()
        },
    )


def _decode_update(
    service, base, revision, parts, owners, rows
) -> table.Update:
    decoded_owners = [table.Owner(*row) for row in owners]
    shards = tuple(
        table.Shard(first, last, decoded_owners[index], fence, "")
        for first, last, index, fence in rows
    )
    return table.Update(
        str(service), int(base), int(revision), shards, int(parts)
    )


def _decode_beacon(tables, items) -> Beacon:
    return Beacon(
        {str(service): int(revision) for service, revision in tables.items()},
        {str(prefix): int(revision) for prefix, revision in items.items()},
    )


def _decode_loads(rows) -> TargetLoads:
    return TargetLoads(
        tuple(
            loads.AgedReport(
                str(target_id),
                loads.LoadReport(
                    int(running), int(waiting), int(slots), slowness / PERCENT
                ),
                age / MILLISECONDS,
            )
            for target_id, running, waiting, slots, slowness, age in rows
        )
    )
