"""Avoids targets that turn calls away although they have room for them."""

import collections.abc
import dataclasses
import random
import typing

SMOOTHING = 0.3
"""Weight of a new outcome."""

HALF_LIFE_SECONDS = 2.0
"""Time in which the level halves without calls. The target then gets calls
again, the first of which show whether it still refuses."""

MIN_LEVEL = 0.1
"""Level from which a target counts as refusing."""

MIN_ACCEPTING_SHARE = 0.5
"""Share of targets that must accept calls for the others to get none. Fewer
couldn't carry the calls of all."""


@dataclasses.dataclass(slots=True)
class RefusalLevel:
    """The share of calls that a target has refused lately.

    Attributes:
        level: The share when it was last changed.
        changed_at: When that was, in monotonic seconds.
        refusals: Number of refusals that are known, other nodes' included.
        own_refusals: Number of those that this node itself got.
    """

    level: float = 0.0
    changed_at: float = 0.0
    refusals: int = 0
    own_refusals: int = 0

    def current(self, now: float) -> float:
        """Returns the share of refused calls.

        Args:
            now: Monotonic time, in seconds.
        """
        if not self.level:
            return 0.0
        age = max(0.0, now - self.changed_at)
        return self.level * 0.5 ** (age / HALF_LIFE_SECONDS)

    def is_refusing(self, now: float) -> bool:
        """Returns whether the target counts as refusing."""
        return self.current(now) >= MIN_LEVEL

    def observe_refusal(self, now: float) -> None:
        """Records a call that the target refused although it had room."""
        level = self.current(now)
        self._change(level + SMOOTHING * (1.0 - level), now)
        self.refusals += 1
        self.own_refusals += 1

    def observe_acceptance(self, now: float) -> None:
        """Records a call that the target accepted."""
        if self.level:
            self._change((1.0 - SMOOTHING) * self.current(now), now)

    def merge(self, level: float, observed_at: float, now: float) -> None:
        """Applies the level that another node has observed.

        Args:
            level: The level.
            observed_at: When it was observed, in monotonic seconds.
            now: Monotonic time, in seconds.
        """
        shared = RefusalLevel(level, observed_at).current(now)
        if shared > self.current(now):
            self.refusals += 1
            self._change(shared, now)

    def _change(self, level: float, now: float) -> None:
        self.level = level
        self.changed_at = now


Candidate = typing.TypeVar("Candidate")


def prefer_accepting(
    candidates: collections.abc.Sequence[Candidate],
    levels: collections.abc.Sequence[float],
    rng: random.Random,
) -> list[Candidate]:
    """Returns the candidates to choose from.

    These are the ones that accept calls, if they are enough to carry all.
    Otherwise each is left out with the probability that it refuses. A service
    whose targets all refuse is still called.

    Args:
        candidates: Targets that may be given new work.
        levels: Their shares of refused calls.
        rng: Source of the choice.
    """
    accepting = [
        candidate
        for candidate, level in zip(candidates, levels, strict=True)
        if level < MIN_LEVEL
    ]
    if len(accepting) >= MIN_ACCEPTING_SHARE * len(candidates):
        return accepting
    drawn = [
        candidate
        for candidate, level in zip(candidates, levels, strict=True)
        if rng.random() >= level
    ]
    return drawn or list(candidates)
