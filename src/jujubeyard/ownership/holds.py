"""Tracks when grants expire and when they must be renewed."""

import asyncio
import collections.abc
import dataclasses

from jujubeyard.ownership import table

RENEW_SECONDS = 0.9
RETRY_SECONDS = 0.1
"""Shortest pause until a grant that could not be sent is tried again."""

RENEWALS_PER_SECOND = 150.0
"""Maximum rate of renewals per service.

The grants of large tables are renewed less often to stay below it.
"""

HOLD_BEYOND_RENEWAL_SECONDS = 2.6
"""Time that a grant outlasts its next renewal while the store is available."""

GRANT_TIMEOUT_SECONDS = 0.7
"""Timeout of a grant request."""

MAX_CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which a slow clock of a target may stretch a grant."""

HOLD_MARGIN_SECONDS = 0.1
MIN_REMAINING_SECONDS = 2.2
"""Time until the latest expiry of a grant below which its renewal can't wait.
The grant itself may expire by more than a second earlier."""


@dataclasses.dataclass(slots=True)
class Hold:
    """How long a shard may be held at its owner's address.

    All times are boot time (`clock.boottime`).

    Attributes:
        until: Latest expiry of all grants that may have been sent.
        renew_at: When the next renewal is due.
        grant_task: The latest grant request; None before the first.
        taken_since: Fence of the assignment under which its owner took a
            grant; 0 before that.
    """

    until: float
    renew_at: float = 0.0
    grant_task: asyncio.Task | None = None
    taken_since: int = 0

    @property
    def is_sending(self) -> bool:
        """Whether a grant request is in progress."""
        return self.grant_task is not None and not self.grant_task.done()

    async def wait_for_grant(self) -> None:
        """Waits until no grant request is in progress."""
        while self.is_sending:
            await asyncio.wait([self.grant_task])


class HoldTracker:
    """The holds of all shards of a table, by first key of the shard."""

    def __init__(self, max_seconds: float):
        """Initializes a tracker without shards.

        Args:
            max_seconds: Longest grant that targets accept.
        """
        self._max_seconds = max_seconds
        self._holds_by_first: dict[int, Hold] = {}

    def load(
        self, shards: collections.abc.Sequence[table.Shard], won_at: float
    ) -> float:
        """Initializes the holds at the start of a term.

        Earlier leaders may have sent grants of the maximum length until the
        term started.

        Args:
            shards: The shards of the stored table.
            won_at: Start of the term.

        Returns:
            The latest expiry of the grants of earlier leaders.
        """
        until = latest_expiry(won_at, self._max_seconds)
        self._holds_by_first = {shard.first: Hold(until) for shard in shards}
        return until

    def update_shards(
        self, shards: collections.abc.Sequence[table.Shard]
    ) -> None:
        """Replaces the shards; the parts of a split shard inherit its hold."""
        previous, hold = self._holds_by_first, Hold(0.0)
        self._holds_by_first = {}
        for shard in shards:
            hold = previous.get(shard.first) or Hold(
                hold.until, grant_task=hold.grant_task
            )
            self._holds_by_first[shard.first] = hold

    def get(self, first: int) -> Hold:
        """Returns the hold of the shard that starts with a key."""
        return self._holds_by_first[first]

    def clear(self, first: int) -> None:
        """Resets the hold of a shard that no target holds any more."""
        self._holds_by_first[first] = Hold(0.0)

    def make_all_renewals_due(self) -> None:
        """Makes all renewals due, to extend all grants as soon as possible."""
        for hold in self._holds_by_first.values():
            hold.renew_at = 0.0

    def may_wait(self, first: int, now: float, seconds: float) -> bool:
        """Returns whether a renewal may wait, without a risk to the grant.

        Args:
            first: First key of the shard.
            now: Boot time.
            seconds: How long to wait; 0.0 if there is no reason to.
        """
        remaining = self._holds_by_first[first].until - now
        return seconds > 0.0 and remaining > MIN_REMAINING_SECONDS

    def start_grant(self, first: int, now: float, use_max_hold: bool) -> float:
        """Records a grant that is about to be sent.

        Args:
            first: First key of the shard.
            now: When the grant is sent.
            use_max_hold: Whether to grant the maximum length, since the store
                may be unavailable for long.

        Returns:
            The length of the grant, in seconds.
        """
        pause = max(
            RENEW_SECONDS, len(self._holds_by_first) / RENEWALS_PER_SECOND
        )
        seconds = self._max_seconds
        if not use_max_hold:
            seconds = min(pause + HOLD_BEYOND_RENEWAL_SECONDS, seconds)
        hold = self._holds_by_first[first]
        hold.until = max(hold.until, latest_expiry(now, seconds))
        hold.renew_at = now + pause
        return seconds


def latest_expiry(sent_at: float, seconds: float) -> float:
    """Returns when a grant has expired at the latest.

    Args:
        sent_at: When the grant was sent.
        seconds: Length of the grant, counted by the target from its arrival.
    """
    return (
        sent_at
        + GRANT_TIMEOUT_SECONDS
        + seconds * MAX_CLOCK_DRIFT_FACTOR
        + HOLD_MARGIN_SECONDS
    )
