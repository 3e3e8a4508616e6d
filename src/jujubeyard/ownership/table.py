"""The shard table: which target owns which keys of a service."""

import bisect
import collections.abc
import dataclasses

import cbor2

from jujubeyard import fields
from jujubeyard.node import protocol
from jujubeyard.store import eras
from jujubeyard.store import revisions


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One incarnation of a target that owns keys.

    Attributes:
        target_id: Name of the target.
        born: Start time of the incarnation as a Unix timestamp in
            milliseconds; 0 if the target doesn't report it.
        address: "IP:PORT" to which grants for its keys are sent.
    """

    target_id: str
    born: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A contiguous range of keys with a single owner.

    Attributes:
        first: First key of the range.
        last: Last key of the range, inclusive.
        owner: The target incarnation that owns the range.
        fence: Fencing token of the assignment to the owner; its grants have
            higher ones.
        handover: State that the previous owner returned on release, passed
            on to this owner; may be empty.
    """

    first: int
    last: int
    owner: Owner
    fence: int
    handover: str


class ShardTable:
    """The shards of a service, sorted by key.

    Attributes:
        service: Name of the service.
        shards: All shards. They cover the whole key space; empty before the
            first assignment.
        revision: Store revision of the table in the era in which it was
            written, which orders tables; 0 if none is stored.
        item_revision: Revision of the stored item as it was read, which a write
            compares. It differs from the other one in a copy from which the
            store came back.
        written_era: Era in which it was written; unknown in tables of versions
            that don't store it.
    """

    def __init__(
        self,
        service: str,
        shards: tuple[Shard, ...],
        revision: int,
        item_revision: int | None = None,
        written_era: int = eras.UNKNOWN_ERA,
    ):
        self.service = service
        self.shards = shards
        self.revision = revision
        self.item_revision = (
            revision if item_revision is None else item_revision
        )
        self.written_era = written_era
        self._firsts = [shard.first for shard in shards]

    def find(self, key: int) -> Shard | None:
        """Returns the shard that contains a key, or None if there is none."""
        index = bisect.bisect_right(self._firsts, key) - 1
        if index < 0 or not self.shards[index].first <= key:
            return None
        return self.shards[index]


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The difference between two revisions of a table, or one part of it.

    Attributes:
        service: Name of the service.
        base: Revision that the update applies to.
        revision: Revision after the update.
        shards: Shards that are new or changed. They replace all shards whose
            key ranges they overlap.
        parts: Number of parts in which the whole update is sent.
    """

    service: str
    base: int
    revision: int
    shards: tuple[Shard, ...]
    parts: int = 1


def compare(old: ShardTable, new: ShardTable) -> Update:
    """Returns the update from one table to another.

    The shard boundaries of the tables may differ.
    """
    old_shards = set(old.shards)
    changed = tuple(shard for shard in new.shards if shard not in old_shards)
    return Update(new.service, old.revision, new.revision, changed)


def split_update(update: Update, max_shards: int) -> list[Update]:
    """Splits an update into parts of limited size.

    Args:
        update: The update to split.
        max_shards: Maximum number of shards in a part.
    """
    starts = range(0, max(len(update.shards), 1), max_shards)
    return [
        dataclasses.replace(
            update,
            shards=update.shards[start : start + max_shards],
            parts=len(starts),
        )
        for start in starts
    ]


def apply_update(current: ShardTable, update: Update) -> ShardTable | None:
    """Returns the updated table, or None if the base revision differs."""
    if current.revision != update.base:
        return None
    shards = sorted(
        [
            *_remove_overlapping(current.shards, update.shards),
            *update.shards,
        ],
        key=lambda shard: shard.first,
    )
    return ShardTable(current.service, tuple(shards), update.revision)


def _remove_overlapping(
    shards: tuple[Shard, ...], replacements: tuple[Shard, ...]
) -> list[Shard]:
    """Returns the shards that share no key with their replacements.

    These are the shards for which as many replacements start at or before their
    last key as end before their first key.
    """
    firsts = sorted(shard.first for shard in replacements)
    lasts = sorted(shard.last for shard in replacements)
    return [
        shard
        for shard in shards
        if bisect.bisect_right(firsts, shard.last)
        == bisect.bisect_left(lasts, shard.first)
    ]


def split_key_space(count: int) -> list[tuple[int, int]]:
    """Splits the key space into ranges of equal size.

    The last range also holds the remainder.

    Args:
        count: Number of ranges.

    Returns:
        The first and last key of each range.
    """
    size = protocol.KEY_COUNT // count
    firsts = range(0, size * count, size)
    ranges = [(first, first + size - 1) for first in firsts]
    ranges[-1] = (ranges[-1][0], protocol.KEY_COUNT - 1)
    return ranges


def encode(shards: tuple[Shard, ...], era: int = eras.UNKNOWN_ERA) -> bytes:
    """Serializes shards to the stored form of a table (CBOR).

    Args:
        shards: The shards.
        era: Era of the store in which they are written.
    """
    owners = list(dict.fromkeys(shard.owner for shard in shards))
    indexes = {owner: index for index, owner in enumerate(owners)}
    document = {
        "owners": [[o.target_id, o.born, o.address] for o in owners],
        "shards": [
            [s.first, s.last, indexes[s.owner], s.fence, s.handover]
            for s in shards
        ],
    }
    if era != eras.UNKNOWN_ERA:
        document["era"] = era
    return cbor2.dumps(document)


def decode(service: str, body: bytes, item_revision: int) -> ShardTable:
    """Parses the stored form of a table.

    Args:
        service: Name of the service.
        body: The stored value.
        item_revision: Store revision of the item that holds it.

    Raises:
        errors.FormatError: The stored value is malformed.
    """
    with fields.reject_malformed(f"shard table of {service}"):
        try:
            document = cbor2.loads(body)
        except cbor2.CBORDecodeError as exc:
            raise ValueError(str(exc)) from exc
        owners = [decode_owner(row) for row in document["owners"]]
        shards = tuple(decode_shard(row, owners) for row in document["shards"])
        era = fields.check_integer(
            document.get("era", eras.UNKNOWN_ERA), maximum=revisions.MAX_ERA
        )
    revision = item_revision
    if era != eras.UNKNOWN_ERA:
        revision = revisions.pack(era, revisions.number_of(item_revision))
    return ShardTable(service, shards, revision, item_revision, era)


def decode_owner(row: collections.abc.Sequence) -> Owner:
    """Parses an owner as tables and datagrams hold it.

    Raises:
        TypeError: A field has another type.
        ValueError: A field is missing or out of range.
    """
    target_id, born, address = row
    return Owner(
        fields.check_name(target_id),
        fields.check_integer(born),
        fields.check_name(address),
    )


def decode_shard(
    row: collections.abc.Sequence, owners: collections.abc.Sequence[Owner]
) -> Shard:
    """Parses a shard as tables and datagrams hold it.

    Args:
        row: First and last key, index of the owner, fence and handover.
        owners: The owners of the table.

    Raises:
        TypeError: A field has another type.
        ValueError: A field is missing or out of range.
    """
    first, last, index, fence, handover = row
    fields.check_integer(first, maximum=protocol.KEY_COUNT - 1)
    fields.check_integer(last, first, protocol.KEY_COUNT - 1)
    fields.check_integer(index, maximum=len(owners) - 1)
    return Shard(
        first,
        last,
        owners[index],
        fields.check_integer(fence),
        fields.check_text(handover),
    )
