"""The stored record of which target owns which keys of a service."""

import bisect
import dataclasses

import cbor2

from jujubeyard import errors
from jujubeyard.node import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One life of a target.

    Attributes:
        target_id: Name of the target.
        born: Unix millisecond of its start; 0 if it doesn't say.
        address: "IP:PORT" at which it was granted the keys.
    """

    target_id: str
    born: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A range of keys that has one owner.

    Attributes:
        first: Its first key.
        last: Its last key.
        owner: The owner.
        fence: The fence of the owner's grant.
        handover: What the owner needs of the one before; may be empty.
    """

    first: int
    last: int
    owner: Owner
    fence: int
    handover: str


class ShardTable:
    """The shards of a service, in the order of their keys.

    Attributes:
        service: Name of the service.
        shards: All shards; together they hold all keys.
        revision: The store's revision of the record; 0 if there is none.
    """

    def __init__(self, service: str, shards: tuple[Shard, ...], revision: int):
        self.service = service
        self.shards = shards
        self.revision = revision
        self._firsts = [shard.first for shard in shards]

    def find(self, key: int) -> Shard | None:
        """Returns the shard of a key, or None while there is none."""
        index = bisect.bisect_right(self._firsts, key) - 1
        if index < 0 or not self.shards[index].first <= key:
            return None
        return self.shards[index]


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """What a write changed in a table, or a part of that.

    Attributes:
        service: Name of the service.
        base: Revision of the table before.
        revision: Its revision after.
        shards: The shards that changed.
        parts: Number of parts that the change is told in.
    """

    service: str
    base: int
    revision: int
    shards: tuple[Shard, ...]
    parts: int = 1


def compare(old: ShardTable, new: ShardTable) -> Update:
    """Returns what changed; shards may have been divided."""
    known = set(old.shards)
    changed = tuple(shard for shard in new.shards if shard not in known)
    return Update(new.service, old.revision, new.revision, changed)


def split_update(update: Update, most: int) -> list[Update]:
    """Returns an update in parts.

    Args:
        update: The update.
        most: Largest number of shards in a part.
    """
    starts = range(0, max(len(update.shards), 1), most)
    return [
        dataclasses.replace(
            update,
            shards=update.shards[start : start + most],
            parts=len(starts),
        )
        for start in starts
    ]


def apply_update(known: ShardTable, update: Update) -> ShardTable | None:
    """Returns the table after an update, or None if it has another base."""
    if known.revision != update.base:
        return None
    shards = sorted(
        [
            *_without(known.shards, update.shards),
            *update.shards,
        ],
        key=lambda shard: shard.first,
    )
    return ShardTable(known.service, tuple(shards), update.revision)


def _without(
    shards: tuple[Shard, ...], replaced: tuple[Shard, ...]
) -> list[Shard]:
    """Returns the shards that have no key in common with those replaced."""
    firsts = sorted(shard.first for shard in replaced)
    lasts = sorted(shard.last for shard in replaced)
    return [
        shard
        for shard in shards
        if bisect.bisect_right(firsts, shard.last)
        == bisect.bisect_left(lasts, shard.first)
    ]


def split_key_space(count: int) -> list[tuple[int, int]]:
    """Returns the first and last key of each of a number of equal ranges."""
    size = protocol.KEY_COUNT // count
    firsts = range(0, size * count, size)
    ranges = [(first, first + size - 1) for first in firsts]
    ranges[-1] = (ranges[-1][0], protocol.KEY_COUNT - 1)
    return ranges


def encode(shards: tuple[Shard, ...]) -> bytes:
    """Returns the stored form of a table."""
    owners = list(dict.fromkeys(shard.owner for shard in shards))
    places = {owner: place for place, owner in enumerate(owners)}
    return cbor2.dumps(
        {
            "owners": [[o.target_id, o.born, o.address] for o in owners],
            "shards": [
                [s.first, s.last, places[s.owner], s.fence, s.handover]
                for s in shards
            ],
        }
    )


def decode(service: str, body: bytes, revision: int) -> ShardTable:
    """Returns a table from its stored form.

    Raises:
        errors.FormatError: The record is malformed.
    """
    try:
        document = cbor2.loads(body)
        owners = [Owner(*row) for row in document["owners"]]
        shards = tuple(
            Shard(first, last, owners[place], fence, handover)
            for first, last, place, fence, handover in document["shards"]
        )
    except (cbor2.CBORDecodeError, KeyError, TypeError, IndexError) as exc:
        raise errors.FormatError(f"table of {service}: {exc!r}") from exc
    return ShardTable(service, shards, revision)
