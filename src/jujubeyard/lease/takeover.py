"""Decides when an unreachable holder has certainly stopped."""

import dataclasses

from jujubeyard.lease import timing
from jujubeyard.plan import tables

# A restarted witness also answers for its former incarnations. These have
# certainly ended, as all incarnations on a VM bind the same address. The names
# of the incarnations on one VM sort by start time.


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The answer of one witness, as times of the local clock.

    Attributes:
        expires_at: When all promises of this incarnation of the witness have
            expired.
        former_expires_at: When the promises of the former incarnations on the
            same VM have expired too.
    """

    expires_at: float
    former_expires_at: float


@dataclasses.dataclass(slots=True)
class Takeover:
    """An attempt to take over from a holder, with the witnesses' answers.

    Attributes:
        holder: The holder, "vm/incarnation" of its gate.
        below_version: Promises to the holder under plans below this version
            have to expire.
    """

    holder: str
    below_version: int
    _answers: dict[str, _Answer] = dataclasses.field(default_factory=dict)

    def record_answer(
        self, witness: str, remaining: float, uptime: float, now: float
    ) -> None:
        """Records the answer of a witness.

        Args:
            witness: The controller's incarnation, "vm/incarnation".
            remaining: Seconds until its last promise to the holder under
                plans below `below_version` expires.
            uptime: Seconds since the incarnation started.
            now: The current time.
        """
        former_expires_at = now + max(
            0.0, timing.WITNESS_PROMISE_SECONDS - uptime
        )
        own_expires_at = now + remaining
        self._answers[witness] = _Answer(
            own_expires_at, max(own_expires_at, former_expires_at)
        )

    def is_holder_stopped(self, plan: tables.Plan, now: float) -> bool:
        """Returns whether the holder has certainly stopped sending.

        Args:
            plan: The newest installed plan.
            now: The current time.
        """
        if tables.vm_of(self.holder) in plan.gone:
            return True
        return all(
            self._is_majority_expired(witness_set, plan.gone, now)
            for witness_set in plan.witness_sets
            if witness_set.first_version < self.below_version
        )

    def _is_majority_expired(
        self, witness_set, gone: list[str], now: float
    ) -> bool:
        expired = [
            member
            for member in witness_set.members
            if member.vm in gone or self._is_expired(member, now)
        ]
        return len(expired) >= witness_set.majority

    def _is_expired(self, member: tables.WitnessRow, now: float) -> bool:
        answer = self._answers.get(member.name)
        if answer is not None and answer.expires_at <= now:
            return True
        return any(
            answer.former_expires_at <= now
            for name, answer in self._answers.items()
            if tables.vm_of(name) == member.vm and name > member.name
        )
