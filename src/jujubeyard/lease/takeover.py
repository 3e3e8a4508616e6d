"""Decides when a holder that can't be reached has certainly stopped."""

import dataclasses

from jujubeyard.lease import timing
from jujubeyard.plan import tables

# A witness that was restarted answers for its former incarnations, which are
# certainly gone: a process binds the address of its predecessor. Incarnations
# of one VM sort by their start.


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """What one witness said, as times on the asker's clock.

    Attributes:
        lapsed_at: When the witness's own promises have lapsed.
        former_lapsed_at: When promises of its former incarnations on the same
            VM have lapsed as well.
    """

    lapsed_at: float
    former_lapsed_at: float


@dataclasses.dataclass(slots=True)
class Takeover:
    """What the witnesses have said about one holder.

    Attributes:
        holder: The holder that is taken over.
        below_version: Its promises under plans older than this must lapse.
    """

    holder: str
    below_version: int
    _answers: dict[str, _Answer] = dataclasses.field(default_factory=dict)

    def record_answer(
        self, witness: str, remaining: float, age: float, now: float
    ) -> None:
        """Notes an answer.

        Args:
            witness: The incarnation that answered.
            remaining: Seconds until its last promise lapses.
            age: Seconds since the incarnation started.
            now: The time.
        """
        restarted = now + max(0.0, timing.WITNESS_PROMISE_SECONDS - age)
        own = now + remaining
        self._answers[witness] = _Answer(own, max(own, restarted))

    def is_holder_stopped(self, plan: tables.Plan, now: float) -> bool:
        """Returns whether the holder has certainly stopped sending.

        Args:
            plan: The newest plan known.
            now: The time.
        """
        if tables.vm_of(self.holder) in plan.gone:
            return True
        return all(
            self._has_majority(witness_set, plan.gone, now)
            for witness_set in plan.witness_sets
            if witness_set.first_version < self.below_version
        )

    def _has_majority(self, witness_set, gone: list[str], now: float) -> bool:
        lapsed = [
            member
            for member in witness_set.members
            if member.vm in gone or self._is_lapsed(member, now)
        ]
        return len(lapsed) >= witness_set.majority

    def _is_lapsed(self, member: tables.WitnessRow, now: float) -> bool:
        answer = self._answers.get(member.name)
        if answer is not None and answer.lapsed_at <= now:
            return True
        return any(
            answer.former_lapsed_at <= now
            for name, answer in self._answers.items()
            if tables.vm_of(name) == member.vm and name > member.name
        )
