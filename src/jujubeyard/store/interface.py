"""Interface of the key-value store that keeps the router's durable state."""

import collections.abc
import dataclasses
import enum
import typing

import result


class FailureKind(enum.Enum):
    """Reason why a call to the store failed."""

    NOT_APPLIED = "not done"
    """The store refused the call or was unreachable; nothing changed."""

    UNKNOWN = "unknown"
    """No valid response; the call may have been or may yet be applied."""

    CONFLICT = "conflict"
    """An item did not have the expected revision."""

    NO_LEASE = "no lease"
    """The lease does not exist or has expired."""

    COMPACTED = "compacted"
    """The store has discarded the requested part of its history."""

    TOO_LARGE = "too large"
    """The answer is larger than its reader accepts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed call to the store.

    Attributes:
        kind: Reason for the failure.
        detail: Description of the failure for the log.
    """

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored item, or the removal of one.

    Attributes:
        key: Key of the item.
        value: Stored bytes; None if the item was removed.
        revision: Store revision of the item's latest change.
        created_revision: Store revision at which the item was created; 0 if
            it was removed.
    """

    key: str
    value: bytes | None
    revision: int
    created_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemBatch:
    """Items read at a store revision.

    Attributes:
        items: All items of a read, or only the changed items of a watch.
        revision: Store revision from which a watch can continue.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(slots=True)
class Transfer:
    """Progress of the answer to a call.

    Attributes:
        received_bytes: Size of the part of the answer's body that was received.
        first_byte_at: When the body began to arrive, in monotonic seconds;
            None before.
    """

    received_bytes: int = 0
    first_byte_at: float | None = None

    @property
    def is_arriving(self) -> bool:
        """Whether a part of the answer has arrived."""
        return self.first_byte_at is not None

    def record_chunk(self, size: int, now: float) -> None:
        """Records that a part of the answer's body was received.

        Args:
            size: Size of the part, in bytes.
            now: Monotonic time, in seconds.
        """
        self.received_bytes += size
        if self.first_byte_at is None:
            self.first_byte_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A value to write.

    Attributes:
        key: Key of the item.
        value: Bytes to store.
        lease: ID of the lease at whose end the item is removed; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A revision that an item must have for a write to be applied.

    Attributes:
        key: Key of the item.
        revision: Required revision; 0 if the item must not exist.
    """

    key: str
    revision: int


class Store(typing.Protocol):
    """A key-value store with compare-and-swap, leases and watches."""

    async def read_all(
        self, prefix: str, transfer: Transfer | None = None
    ) -> result.Result[ItemBatch, Failure]:
        """Returns all items whose keys start with a prefix.

        Args:
            prefix: Prefix of the keys.
            transfer: Is updated while the answer arrives.
        """

    async def read(self, key: str) -> result.Result[Item | None, Failure]:
        """Returns an item, or None if it does not exist."""

    async def watch(
        self,
        prefix: str,
        after: int,
        seconds: float,
        transfer: Transfer | None = None,
    ) -> result.Result[ItemBatch, Failure]:
        """Waits for changes after a revision and returns them.

        Args:
            prefix: Prefix of the watched keys.
            after: Revision after which changes are returned.
            seconds: Longest wait; the batch is empty if nothing changed.
            transfer: Is updated while the answer arrives.
        """

    async def write(
        self,
        conditions: collections.abc.Sequence[Condition],
        puts: collections.abc.Sequence[Put],
    ) -> result.Result[int, Failure]:
        """Writes all values atomically if all conditions hold.

        Returns:
            Ok with the store revision of the write, or Err.
        """

    async def open_lease(self, seconds: float) -> result.Result[int, Failure]:
        """Creates a lease that expires unless it is renewed in time.

        Args:
            seconds: Time to live of the lease.

        Returns:
            Ok with the ID of the lease, or Err.
        """

    async def renew_lease(self, lease: int) -> result.Result[None, Failure]:
        """Renews a lease for another time to live."""

    async def end_lease(self, lease: int) -> result.Result[None, Failure]:
        """Revokes a lease and removes the items attached to it."""
