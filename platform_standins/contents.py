"""What the stand-in store holds, and copies of it from moments before."""

import collections
import dataclasses

COPY_SECONDS = 0.2
"""Time between two copies."""

KEPT_SECONDS = 10.0
"""Age up to which copies are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A stored item.

    Attributes:
        value: Its value.
        revision: Revision of its last change.
        created_revision: Revision of its creation.
        lease: ID of the lease at whose end it is removed; 0 for none.
    """

    value: bytes
    revision: int
    created_revision: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease.

    Attributes:
        seconds: Its time to live.
        expires_at: When it ends unless it is renewed, in monotonic seconds.
    """

    seconds: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class Contents:
    """All that a drill takes back to an earlier state.

    Attributes:
        items: Items by key.
        events: Key and revision of each change, oldest first.
        removed_revisions: Revision of the latest removal by key.
        revision: Revision of the latest change.
        compacted_revision: Revision up to which changes were forgotten.
        leases: Leases by ID.
        last_lease_id: ID of the newest lease.
    """

    items: dict[str, Item] = dataclasses.field(default_factory=dict)
    events: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    removed_revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 1
    compacted_revision: int = 0
    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    last_lease_id: int = 0

    def copy(self) -> "Contents":
        """Returns a copy that later changes leave as it is."""
        return dataclasses.replace(
            self,
            items=dict(self.items),
            events=list(self.events),
            removed_revisions=dict(self.removed_revisions),
            leases=dict(self.leases),
        )

    def renew_leases(self, seconds: float) -> None:
        """Lets all leases end later.

        Args:
            seconds: How much later.
        """
        self.leases = {
            lease_id: dataclasses.replace(
                lease, expires_at=lease.expires_at + seconds
            )
            for lease_id, lease in self.leases.items()
        }


class Copies:
    """Copies of the contents, one for each `COPY_SECONDS`."""

    def __init__(self):
        """Starts without a copy."""
        self._copies: collections.deque[tuple[float, Contents]] = (
            collections.deque()
        )

    def take(self, contents: Contents, now: float) -> None:
        """Takes a copy if the latest one is old.

        Args:
            contents: What is copied.
            now: Monotonic time, in seconds.
        """
        if self._copies and now - self._copies[-1][0] < COPY_SECONDS:
            return
        self._copies.append((now, contents.copy()))
        while now - self._copies[0][0] > KEPT_SECONDS:
            self._copies.popleft()

    def take_back(self, before: float) -> tuple[float, Contents]:
        """Returns the newest copy from before a time, and when it was taken.

        The copies after it are dropped. It is the oldest one if none is from
        before that time.

        Args:
            before: The time, in monotonic seconds.
        """
        while len(self._copies) > 1 and self._copies[-1][0] > before:
            self._copies.pop()
        at, contents = self._copies[-1]
        return at, contents.copy()
