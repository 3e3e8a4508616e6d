"""Datagrams between nodes: reports to the leader, updates from it.

Each one may be lost: a report is followed by others, and what an update says
also comes from the store, a little later.
"""

import functools

import cbor2

from jujubeyard import errors
from jujubeyard.ownership import demand
from jujubeyard.ownership import table

MAX_BYTES = 1400
REPORT = "report"
UPDATE = "update"

Datagram = demand.Report | table.Update


@functools.singledispatch
def encode(message: Datagram) -> bytes:
    """Returns a message as a datagram."""
    raise TypeError(f"no datagram: {message!r}")


@encode.register
def _(message: demand.Report) -> bytes:
    return cbor2.dumps([REPORT, message.service, message.calls, message.work])


@encode.register
def _(message: table.Update) -> bytes:
    rows = [
        [
            shard.first,
            shard.last,
            shard.owner.target_id,
            shard.owner.born,
            shard.owner.address,
            shard.fence,
        ]
        for shard in message.shards
    ]
    return cbor2.dumps(
        [UPDATE, message.service, message.base, message.revision, rows]
    )


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
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        AttributeError,
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


def _read_update(service, base, revision, rows) -> table.Update:
    shards = tuple(
        table.Shard(first, last, table.Owner(name, born, address), fence, "")
        for first, last, name, born, address, fence in rows
    )
    return table.Update(str(service), int(base), int(revision), shards)
