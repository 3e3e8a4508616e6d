"""Promises of a witness, which back the leases of gates."""

import dataclasses

from jujubeyard.lease import timing

MAX_HOLDERS = 4096
"""Maximum number of holders that a witness keeps promises for."""


@dataclasses.dataclass(slots=True)
class _HolderPromises:
    """The promises of a witness to one holder.

    Attributes:
        expiry_by_version: Time at which promises expire, by plan version of
            the renewal.
        min_version: Renewals under plans below this version are refused.
    """

    expiry_by_version: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    min_version: int = 0


class Witness:
    """The promises that this process has made as a witness.

    Until a promise to a holder expires, the witness does not report the holder
    as stopped to another gate. Times are seconds of one monotonic clock.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._holders: dict[str, _HolderPromises] = {}
        self._purged_min_version = 0

    def __len__(self) -> int:
        return len(self._holders)

    def promise(self, holder: str, plan_version: int, now: float) -> bool:
        """Handles a renewal of a holder.

        Args:
            holder: The gate's incarnation, "vm/incarnation".
            plan_version: Version of the plan that the holder has installed.
            now: The current time.

        Returns:
            Whether the promise was made.
        """
        row = self._holders.get(holder)
        if row is None:
            if len(self._holders) >= MAX_HOLDERS:
                return False
            row = self._holders[holder] = self._make_promises()
        if plan_version < row.min_version:
            return False
        row.expiry_by_version[plan_version] = (
            now + timing.WITNESS_PROMISE_SECONDS
        )
        return True

    def stop_renewals(
        self, holder: str, below_version: int, now: float
    ) -> float:
        """Refuses a holder's further renewals under plans below a version.

        Args:
            holder: The gate's incarnation, "vm/incarnation".
            below_version: Renewals under plans below this version are refused.
            now: The current time.

        Returns:
            Seconds until the last promise under such plans expires; 0.0 if
            there is none.
        """
        row = self._holders.setdefault(holder, self._make_promises())
        row.min_version = max(row.min_version, below_version)
        expiries = [
            expiry
            for version, expiry in row.expiry_by_version.items()
            if version < below_version
        ]
        return max(0.0, max(expiries, default=now) - now)

    def uptime(self, now: float) -> float:
        """Returns the seconds since the witness started."""
        return now - self._started_at

    def purge(self, named_holders: set[str], now: float) -> None:
        """Removes expired promises and holders that no plan refers to.

        A removed holder may still run without having noticed that it was taken
        over. The highest min_version of the removed holders therefore applies
        to every holder that the witness has no entry for.

        Args:
            named_holders: Holders that a plan refers to.
            now: The current time.
        """
        for holder in list(self._holders):
            row = self._holders[holder]
            row.expiry_by_version = {
                version: expiry
                for version, expiry in row.expiry_by_version.items()
                if expiry > now
            }
            if not row.expiry_by_version and holder not in named_holders:
                self._purged_min_version = max(
                    self._purged_min_version, row.min_version
                )
                del self._holders[holder]

    def _make_promises(self) -> _HolderPromises:
        return _HolderPromises(min_version=self._purged_min_version)
