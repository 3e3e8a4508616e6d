"""The lease of a gate, as its holder tracks it."""

from jujubeyard.lease import timing
from jujubeyard.plan import tables


class Lease:
    """The lease of one gate, backed by promises of a majority of witnesses.

    The holder counts a promise from the time at which it sent the renewal. The
    lease is valid while unexpired promises of a majority of witnesses are held.
    """

    def __init__(self):
        self._expiry_by_witness: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._witnesses: tuple[str, ...] = ()
        self._majority = 1
        self._valid_until = 0.0

    @property
    def valid_until(self) -> float:
        """Time at which the lease expires; 0.0 if there is no lease."""
        return self._valid_until

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may send calls to its targets."""
        return now < self._valid_until

    def has_witness(self, witness: str) -> bool:
        """Returns whether a witness belongs to the current witness set."""
        return witness in self._witnesses

    def use_witnesses(self, witness_set: tables.WitnessSet) -> None:
        """Replaces the witness set.

        Promises of witnesses that are also in the new set remain valid.
        """
        witnesses = tuple(row.name for row in witness_set.members)
        if witnesses == self._witnesses:
            return
        self._witnesses = witnesses
        self._majority = witness_set.majority
        self._expiry_by_witness = {
            n: e for n, e in self._expiry_by_witness.items() if n in witnesses
        }
        self._update()

    def record_renewal(self, renewal_id: int, now: float) -> None:
        """Records when a renewal was sent."""
        self._sent_at[renewal_id] = now
        for old in [n for n, t in self._sent_at.items() if t < now - 5.0]:
            del self._sent_at[old]

    def record_promise(self, renewal_id: int, witness: str) -> None:
        """Records a promise that a witness sent in reply to a renewal.

        The promise is ignored if the renewal is no longer recorded or if the
        witness does not belong to the witness set.
        """
        sent_at = self._sent_at.get(renewal_id)
        if sent_at is None or witness not in self._witnesses:
            return
        expiry = sent_at + timing.HOLDER_LEASE_SECONDS
        self._expiry_by_witness[witness] = max(
            self._expiry_by_witness.get(witness, 0.0), expiry
        )
        self._update()

    def _update(self) -> None:
        expiries = sorted(self._expiry_by_witness.values(), reverse=True)
        if len(expiries) < self._majority:
            self._valid_until = 0.0
            return
        self._valid_until = expiries[self._majority - 1]
