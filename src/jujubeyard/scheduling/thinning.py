"""Admits a share of a node's calls, the urgent ones first.

A share for all calls is divided between the priorities by their part of the
node's calls: the least urgent are thinned first, but none of them is starved.
Admission is paced by credit: each new call earns its share of one, and a call
is admitted for a whole one. Calls that wait for room keep others from trying;
they earn in their place, as often as calls came before.
"""

import dataclasses
import random

MIN_RELATIVE_SHARE = 0.3
"""Ratio of any priority's share to that of all calls, at least."""

MAX_CREDIT = 2.0
"""Calls that a node may save up for one priority."""

MIX_DECAY = 0.995
"""Factor that each new call applies to the weight of earlier ones."""

INTERVAL_SMOOTHING = 0.1
MIN_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 1.0
"""Bounds on the time in which a waiting call earns the share of one call."""

MAX_RANK = 16
"""Largest rank of a service's priorities that is told apart; less urgent ones
count as the same."""


class UrgencyMix:
    """The parts that the priorities have in the calls of a service."""

    def __init__(self):
        self._weights: dict[int, float] = {}
        self._total = 0.0

    def observe(self, rank: int) -> None:
        """Adds a call; the smaller its rank, the sooner it is served."""
        for known in self._weights:
            self._weights[known] *= MIX_DECAY
        rank = min(rank, MAX_RANK)
        self._weights[rank] = self._weights.get(rank, 0.0) + 1.0
        self._total = self._total * MIX_DECAY + 1.0

    def share(self, rank: int, overall: float) -> float:
        """Returns the share of a priority's calls to admit.

        Each priority keeps its minimum; the remainder goes to the most urgent
        first.

        Args:
            rank: Rank of the priority; 0 is the most urgent.
            overall: Share of all calls to admit.
        """
        rank = min(rank, MAX_RANK)
        own = self._weights.get(rank, 0.0)
        if overall >= 1.0 or not own:
            return overall
        minimum = MIN_RELATIVE_SHARE * overall
        more_urgent = sum(
            weight for known, weight in self._weights.items() if known < rank
        )
        spare = (overall - minimum) * self._total
        left = spare - (1.0 - minimum) * more_urgent
        return min(max(minimum + left / own, minimum), 1.0)


@dataclasses.dataclass(slots=True)
class Credit:
    """The calls of one priority that a node may admit.

    Attributes:
        calls: Number of calls that may be admitted.
        called_at: When the latest call came, in monotonic seconds.
        earned_at: When credit was last added.
        interval_seconds: Smoothed time between two calls.
    """

    calls: float
    called_at: float
    earned_at: float
    interval_seconds: float = MAX_INTERVAL_SECONDS

    def earn(self, share: float, now: float) -> None:
        """Adds the share of one call that has come.

        Args:
            share: Share of the calls to admit.
            now: Monotonic time, in seconds.
        """
        elapsed = now - self.called_at
        self.interval_seconds += INTERVAL_SMOOTHING * (
            elapsed - self.interval_seconds
        )
        self.called_at = now
        self._add(share, now)

    def earn_waiting(self, share: float, now: float) -> None:
        """Adds what a call has earned by waiting since credit was last added.

        Args:
            share: Share of the calls to admit.
            now: Monotonic time, in seconds.
        """
        elapsed = now - self.earned_at
        self._add(share * elapsed / self._waiting_interval(), now)

    def _add(self, calls: float, now: float) -> None:
        self.calls = min(self.calls + calls, MAX_CREDIT)
        self.earned_at = now

    def _waiting_interval(self) -> float:
        return min(
            max(self.interval_seconds, MIN_INTERVAL_SECONDS),
            MAX_INTERVAL_SECONDS,
        )

    def spend(self) -> bool:
        """Takes a call from the credit; returns whether there was one."""
        if self.calls < 1.0:
            return False
        self.calls -= 1.0
        return True

    def give_back(self) -> None:
        """Returns a spent call to the credit, as it wasn't sent."""
        self.calls = min(self.calls + 1.0, MAX_CREDIT)

    def seconds_until_call(self, share: float) -> float:
        """Returns when the credit will suffice for a call, in seconds."""
        missing = max(0.0, 1.0 - self.calls)
        return missing / share * self._waiting_interval()


class Credits:
    """The credit of each priority at a target or a service."""

    def __init__(self, rng: random.Random):
        """Creates credit for each priority as its first call comes.

        Args:
            rng: Source of the initial credit. Without one, no node would admit
                the first call of a priority.
        """
        self._rng = rng
        self._by_rank: dict[int, Credit] = {}

    def of(self, rank: int, now: float) -> Credit:
        """Returns the credit of a priority.

        Args:
            rank: Rank of the priority.
            now: Monotonic time, in seconds.
        """
        rank = min(rank, MAX_RANK)
        credit = self._by_rank.get(rank)
        if credit is None:
            credit = self._by_rank[rank] = Credit(self._rng.random(), now, now)
        return credit
