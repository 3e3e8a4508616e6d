"""What the router needs of the store that keeps what must last."""

import collections.abc
import dataclasses
import enum
import typing

import result


class FailureKind(enum.Enum):
    """What is known of a call to the store that failed."""

    NOT_APPLIED = "not done"
    """The store refused the call; nothing was changed."""

    UNKNOWN = "unknown"
    """No answer; the call may have been done, or may be done later."""

    CONFLICT = "conflict"
    """An item had another revision than expected."""

    NO_LEASE = "no lease"
    """The lease has ended."""

    COMPACTED = "compacted"
    """The store no longer has the changes asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call to the store that failed.

    Attributes:
        kind: What is known of it.
        detail: What happened, for the log.
    """

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A value in the store, or its removal.

    Attributes:
        key: The key.
        value: The bytes; None if the item was removed.
        revision: The revision of its latest change.
        created: The revision at which it was created; 0 if removed.
    """

    key: str
    value: bytes | None
    revision: int
    created_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemBatch:
    """Items of the store as of a revision.

    Attributes:
        items: The items, or what has changed.
        revision: The store's revision to go on from.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A value to write.

    Attributes:
        key: The key.
        value: The bytes.
        lease: The lease that the item ends with; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A revision that an item must have for a write to take effect.

    Attributes:
        key: The key.
        revision: Its revision; 0 if there must be no such item.
    """

    key: str
    revision: int


class Store(typing.Protocol):
    """A store with compare-and-swap, leases and watches."""

    async def read_all(self, prefix: str) -> result.Result[ItemBatch, Failure]:
        """Returns all items whose keys begin with a prefix."""

    async def read(self, key: str) -> result.Result[Item | None, Failure]:
        """Returns an item, or None if there is none."""

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> result.Result[ItemBatch, Failure]:
        """Returns what changed after a revision, as soon as something did.

        Args:
            prefix: How the keys begin that are watched.
            after: The revision.
            seconds: How long to wait for a change.
        """

    async def write(
        self,
        conditions: collections.abc.Sequence[Condition],
        puts: collections.abc.Sequence[Put],
    ) -> result.Result[int, Failure]:
        """Writes all values if all conditions hold; returns the revision."""

    async def open_lease(self, seconds: float) -> result.Result[int, Failure]:
        """Returns a new lease that ends unless it is renewed in time."""

    async def renew_lease(self, lease: int) -> result.Result[None, Failure]:
        """Renews a lease."""

    async def end_lease(self, lease: int) -> result.Result[None, Failure]:
        """Ends a lease; its items are removed."""
