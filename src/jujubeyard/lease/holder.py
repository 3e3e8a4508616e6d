"""A holder's side of leases."""

from jujubeyard.lease import timing
from jujubeyard.plan import tables


class Lease:
    """The lease of one gate, resting on promises of a majority of witnesses.

    The lease counts from when each request was sent and ends with the weakest
    promise of the strongest majority.
    """

    def __init__(self):
        self._ends: dict[str, float] = {}
        self._sent: dict[int, float] = {}
        self._members: tuple[str, ...] = ()
        self._majority = 1
        self._valid_until = 0.0

    @property
    def valid_until(self) -> float:
        """When the lease ends; 0.0 if there is none."""
        return self._valid_until

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may send calls to its targets."""
        return now < self._valid_until

    def has_witness(self, witness: str) -> bool:
        """Returns whether a witness is one of those in use."""
        return witness in self._members

    def use_witnesses(self, witness_set: tables.WitnessSet) -> None:
        """Rests the lease on another set, from now on."""
        members = tuple(row.name for row in witness_set.members)
        if members == self._members:
            return
        self._members = members
        self._majority = witness_set.majority
        self._ends = {n: e for n, e in self._ends.items() if n in members}
        self._update()

    def record_renewal(self, number: int, now: float) -> None:
        """Notes when a renewal was sent."""
        self._sent[number] = now
        for old in [n for n, t in self._sent.items() if t < now - 5.0]:
            del self._sent[old]

    def record_promise(self, number: int, witness: str) -> None:
        """Notes a granted promise."""
        sent_at = self._sent.get(number)
        if sent_at is None or witness not in self._members:
            return
        end = sent_at + timing.HOLDER_LEASE_SECONDS
        self._ends[witness] = max(self._ends.get(witness, 0.0), end)
        self._update()

    def _update(self) -> None:
        ends = sorted(self._ends.values(), reverse=True)
        if len(ends) < self._majority:
            self._valid_until = 0.0
            return
        self._valid_until = ends[self._majority - 1]
