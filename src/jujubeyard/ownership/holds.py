"""How long targets may hold what they were granted, and when to renew it."""

import collections.abc
import dataclasses

from jujubeyard.ownership import table

RENEW_SECONDS = 0.9
RENEWALS_PER_SECOND = 150.0
"""Most renewals of a service; grants of large tables are renewed less often."""

HOLD_BEYOND_RENEWAL_SECONDS = 2.6
"""Length of a grant beyond the pause between renewals, while the store
answers."""

ORDER_SECONDS = 0.7
"""Time limit of a grant's order."""

SLOW_CLOCK = 1.02
"""How much longer a target's clock may measure a grant."""

HOLD_MARGIN_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Hold:
    """What the owner of a shard may hold.

    Attributes:
        until: When the longest grant that may have been given has run out.
        renew_at: When the next renewal is due.
        sending: Whether a renewal is on its way.
    """

    until: float
    renew_at: float = 0.0
    sending: bool = False


class Holds:
    """The holds of a table's shards, by first key; times are boot time."""

    def __init__(self, max_seconds: float):
        """Makes holds of no shard.

        Args:
            max_seconds: Longest grant that targets take.
        """
        self._max_seconds = max_seconds
        self._by_first: dict[int, Hold] = {}

    def load(
        self, shards: collections.abc.Sequence[table.Shard], won_at: float
    ) -> None:
        """Begins a term: leaders before may have given the longest grants."""
        until = latest_end(won_at, self._max_seconds)
        self._by_first = {shard.first: Hold(until) for shard in shards}

    def adopt(self, shards: collections.abc.Sequence[table.Shard]) -> None:
        """Takes a new division; the parts of a shard are held like it."""
        known, latest = self._by_first, Hold(0.0)
        self._by_first = {}
        for shard in shards:
            latest = known.get(shard.first) or Hold(latest.until)
            self._by_first[shard.first] = latest

    def of(self, first: int) -> Hold:
        """Returns the hold of a shard."""
        return self._by_first[first]

    def clear(self, first: int) -> None:
        """Notes that nobody holds a shard."""
        self._by_first[first] = Hold(0.0)

    def renew_all(self) -> None:
        """Makes all renewals due, to lengthen what is held at once."""
        for hold in self._by_first.values():
            hold.renew_at = 0.0

    def begin_grant(self, first: int, now: float, in_doubt: bool) -> float:
        """Counts a grant that is about to be sent; returns its length.

        Args:
            first: First key of the shard.
            now: When it is sent.
            in_doubt: Whether the store may be away for long.
        """
        pause = max(RENEW_SECONDS, len(self._by_first) / RENEWALS_PER_SECOND)
        seconds = self._max_seconds
        if not in_doubt:
            seconds = min(pause + HOLD_BEYOND_RENEWAL_SECONDS, seconds)
        hold = self._by_first[first]
        hold.until = max(hold.until, latest_end(now, seconds))
        hold.renew_at = now + pause
        return seconds


def latest_end(sent: float, seconds: float) -> float:
    """Returns when a grant has certainly run out.

    Args:
        sent: When it was sent.
        seconds: Its length, which runs from its arrival.
    """
    return sent + ORDER_SECONDS + seconds * SLOW_CLOCK + HOLD_MARGIN_SECONDS
