"""Datagrams between nodes: reports to the leader, updates and beacons from it.

Each one may be lost: reports and beacons are followed by others, and beacons
show which updates were missed.
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
"""Shards that fit into a datagram if each has another owner."""

REPORT = "report"
UPDATE = "update"

BEACON = "beacon"
LOADS = "loads"
PERCENT = 100.0
MILLISECONDS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Beacon:
    """How new the leader's knowledge is.

    Attributes:
        tables: Revision of the table of each keyed service.
        items: Revision of the latest change below each prefix of the store.
    """

    tables: dict[str, int]
    items: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Loads:
    """Loads of targets that nodes saw.

    Attributes:
        rows: What was seen.
    """

    rows: tuple[loads.AgedReport, ...]


Datagram = demand.Report | table.Update | Beacon | Loads


@functools.singledispatch
def encode(message: Datagram) -> bytes:
    """Returns a message as a datagram."""
    raise TypeError(f"no datagram: {message!r}")


@encode.register
def _(message: demand.Report) -> bytes:
    return cbor2.dumps([REPORT, message.service, message.calls, message.work])


@encode.register
def _(message: table.Update) -> bytes:
    owners = list(dict.fromkeys(shard.owner for shard in message.shards))
    places = {owner: place for place, owner in enumerate(owners)}
    return cbor2.dumps(
        [
            UPDATE,
            message.service,
            message.base,
            message.revision,
            message.parts,
            [[o.target_id, o.born, o.address] for o in owners],
            [
                [shard.first, shard.last, places[shard.owner], shard.fence]
                for shard in message.shards
            ],
        ]
    )


@encode.register
def _(message: Beacon) -> bytes:
    return cbor2.dumps([BEACON, message.tables, message.items])


@encode.register
def _(message: Loads) -> bytes:
    rows = [
        [
            row.target_id,
            row.report.running,
            row.report.waiting,
            row.report.slots,
            round(row.report.slowness * PERCENT),
            round(row.age_seconds * MILLISECONDS),
        ]
        for row in message.rows
    ]
    return cbor2.dumps([LOADS, rows])


def decode(data: bytes) -> Datagram:
    """Returns the message in a datagram.

    Raises:
        errors.FormatError: There is none.
    """
    try:
        kind, *fields = cbor2.loads(data)
        if kind == REPORT:
            return _read_report(*fields)
        if kind == UPDATE:
            return _read_update(*fields)
        if kind == BEACON:
            return _read_beacon(*fields)
        if kind == LOADS:
            return _read_loads(*fields)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        AttributeError,
        IndexError,
    ) as exc:
        raise errors.FormatError(f"datagram: {exc!r}") from exc
    raise errors.FormatError(f"datagram of kind {kind!r}")


def _read_report(service, calls, work) -> demand.Report:
    return demand.Report(
        str(service),
        {int(bucket): int(count) for bucket, count in calls.items()},
        {
            str(name): (int(count), float(seconds))
            for name, (count, seconds) in work.items()
        },
    )


def _read_update(service, base, revision, parts, owners, rows) -> table.Update:
    named = [table.Owner(*row) for row in owners]
    shards = tuple(
        table.Shard(first, last, named[place], fence, "")
        for first, last, place, fence in rows
    )
    return table.Update(
        str(service), int(base), int(revision), shards, int(parts)
    )


def _read_beacon(tables, items) -> Beacon:
    return Beacon(
        {str(service): int(revision) for service, revision in tables.items()},
        {str(prefix): int(revision) for prefix, revision in items.items()},
    )


def _read_loads(rows) -> Loads:
    return Loads(
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
