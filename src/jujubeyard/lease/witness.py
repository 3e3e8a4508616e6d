"""A witness's side of leases: promises, and the end of promises."""

import dataclasses

from jujubeyard.lease import timing

MAX_HOLDERS = 4096
"""Holders that a witness keeps in memory."""


@dataclasses.dataclass(slots=True)
class _HolderRow:
    """What a witness has promised to one holder.

    Attributes:
        expiries: Time until which promises last, by plan version of the
            renewal.
        floor: Renewals under older plans are refused.
    """

    expiries: dict[int, float] = dataclasses.field(default_factory=dict)
    floor: int = 0


class Witness:
    """Promises made by this process.

    A promise means: until it lapses, the witness does not tell another gate
    that the holder has stopped. Times are seconds of one monotonic clock.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._holders: dict[str, _HolderRow] = {}
        self._forgotten_floor = 0

    def __len__(self) -> int:
        return len(self._holders)

    def promise(self, holder: str, plan_version: int, now: float) -> bool:
        """Answers a renewal.

        Args:
            holder: Who asks.
            plan_version: The plan that the holder has installed.
            now: The time.

        Returns:
            Whether the promise was made.
        """
        row = self._holders.get(holder)
        if row is None:
            if len(self._holders) >= MAX_HOLDERS:
                return False
            row = self._holders[holder] = self._make_row()
        if plan_version < row.floor:
            return False
        row.expiries[plan_version] = now + timing.WITNESS_PROMISE_SECONDS
        return True

    def stop_renewals(
        self, holder: str, below_version: int, now: float
    ) -> float:
        """Stops promises under plans older than a version.

        Returns:
            Seconds until the last promise under such plans lapses; 0.0 if
            there is none.
        """
        row = self._holders.setdefault(holder, self._make_row())
        row.floor = max(row.floor, below_version)
        ends = [
            expiry
            for version, expiry in row.expiries.items()
            if version < below_version
        ]
        return max(0.0, max(ends, default=now) - now)

    def age(self, now: float) -> float:
        """Returns seconds since the witness started."""
        return now - self._started_at

    def purge(self, named: set[str], now: float) -> None:
        """Drops lapsed promises, and holders that no plan names any more.

        A holder that was stopped may still be alive and know nothing of it, so
        that its floor outlives it: whoever is not known has to have installed
        all plans under which anyone was stopped.
        """
        for holder in list(self._holders):
            row = self._holders[holder]
            row.expiries = {
                version: expiry
                for version, expiry in row.expiries.items()
                if expiry > now
            }
            if not row.expiries and holder not in named:
                self._forgotten_floor = max(self._forgotten_floor, row.floor)
                del self._holders[holder]

    def _make_row(self) -> _HolderRow:
        return _HolderRow(floor=self._forgotten_floor)
