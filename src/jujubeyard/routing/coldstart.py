"""Keeps the calls of all nodes to a cold target within what it bears.

No node counts for the others. Some nodes sponsor a cold target: only they
send to it, each at most one call in each pause. Old and new sponsors together
stay within the bound while nodes join and leave.
"""

import collections.abc
import dataclasses

import xxhash

CALM_PAUSE_SECONDS = 1.15
"""Pause between two calls of a sponsor: a second and the jitter of a link."""

CHANGE_MARGIN = 2.0
"""Sponsors before and after a change of the list of nodes may both send."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRateLimit:
    """What a cold target bears in any one second.

    Attributes:
        factor: Multiple of the rate of its service.
        slack: Calls beyond it.
    """

    factor: float
    slack: float

    def per_second(self, rate: float) -> float:
        """Returns the largest number of calls in one second."""
        return rate * self.factor + self.slack


def choose_senders(
    target_id: str, nodes: collections.abc.Iterable[str], bound: float
) -> list[str]:
    """Returns the nodes that may send to a cold target.

    Args:
        target_id: The target.
        nodes: Names of all nodes.
        bound: Calls that the target bears in one second.
    """
    ranked = sorted(nodes, key=lambda name: _rank(target_id, name))
    return ranked[: max(1, int(bound / CHANGE_MARGIN))]


def _rank(target_id: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{target_id}/{node}".encode())


class ColdStartLimiter:
    """Paces the calls of one node to cold targets."""

    def __init__(self, node: str, bound: ColdRateLimit):
        self._node = node
        self._bound = bound
        self._last_sent: dict[str, float] = {}
        self._sponsored: dict[str, tuple[frozenset[str], float, bool]] = {}

    def may_send(
        self,
        target_id: str,
        rate: float,
        nodes: collections.abc.Set[str],
        now: float,
    ) -> bool:
        """Returns whether this node may send a call to a cold target now.

        Args:
            target_id: The target.
            rate: Calls per second that a cold target of its service bears.
            nodes: Names of all nodes that are known.
            now: Monotonic time, in seconds.
        """
        last = self._last_sent.get(target_id)
        if last is not None and now - last < CALM_PAUSE_SECONDS:
            return False
        return self._is_sponsor(target_id, rate, nodes)

    def _is_sponsor(
        self, target_id: str, rate: float, nodes: collections.abc.Set[str]
    ) -> bool:
        known = self._sponsored.get(target_id)
        if known is not None and known[0] == nodes and known[1] == rate:
            return known[2]
        bound = self._bound.per_second(rate)
        is_sponsor = self._node in choose_senders(target_id, nodes, bound)
        self._sponsored[target_id] = (frozenset(nodes), rate, is_sponsor)
        return is_sponsor

    def record_call(self, target_id: str, now: float) -> None:
        """Counts a call that is being sent."""
        self._last_sent[target_id] = now

    def forget(self, target_id: str) -> None:
        """Drops a target that is gone."""
        self._last_sent.pop(target_id, None)
        self._sponsored.pop(target_id, None)
