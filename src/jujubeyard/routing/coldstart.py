"""Limits the rate at which all nodes together call a cold target.

Nodes don't share counters. Instead, a hash of the names selects a few sender
nodes for each cold target. Only these call it, each at most once per pause.
The number of senders is low enough that the old and the new ones together
stay within the limit while nodes join and leave.
"""

import collections.abc
import dataclasses

import xxhash

SEND_PAUSE_SECONDS = 1.15
"""Pause between two calls of a sender: one second plus network jitter."""

MEMBERSHIP_CHANGE_FACTOR = 2.0
"""Divides the limit, because the senders from before and after a change of the
node list may both be active."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRateLimit:
    """Limit on the calls to a cold target in any one second.

    Attributes:
        factor: Multiple of the cold rate of the service.
        slack: Calls that are allowed on top of that.
    """

    factor: float
    slack: float

    def per_second(self, rate: float) -> float:
        """Returns the largest number of calls in one second.

        Args:
            rate: Cold rate of the service, in calls per second.
        """
        return rate * self.factor + self.slack


def choose_senders(
    target_id: str, nodes: collections.abc.Iterable[str], limit: float
) -> list[str]:
    """Returns the nodes that may send to a cold target.

    Args:
        target_id: The target.
        nodes: Names of all nodes.
        limit: Largest number of calls to the target in one second.
    """
    ranked = sorted(nodes, key=lambda name: _rank(target_id, name))
    return ranked[: max(1, int(limit / MEMBERSHIP_CHANGE_FACTOR))]


def _rank(target_id: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{target_id}/{node}".encode())


class ColdStartLimiter:
    """Limits the calls of one node to cold targets."""

    def __init__(self, node: str, rate_limit: ColdRateLimit):
        self._node = node
        self._rate_limit = rate_limit
        self._last_sent_at: dict[str, float] = {}
        self._is_sender_cache: dict[
            str, tuple[frozenset[str], float, bool]
        ] = {}

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
            rate: Cold rate of the service, in calls per second.
            nodes: Names of all listed nodes.
            now: Monotonic time, in seconds.
        """
        last_sent_at = self._last_sent_at.get(target_id)
        if last_sent_at is not None and now - last_sent_at < SEND_PAUSE_SECONDS:
            return False
        return self._is_sender(target_id, rate, nodes)

    def _is_sender(
        self, target_id: str, rate: float, nodes: collections.abc.Set[str]
    ) -> bool:
        cached = self._is_sender_cache.get(target_id)
        if cached is not None and cached[0] == nodes and cached[1] == rate:
            return cached[2]
        limit = self._rate_limit.per_second(rate)
        is_sender = self._node in choose_senders(target_id, nodes, limit)
        self._is_sender_cache[target_id] = (frozenset(nodes), rate, is_sender)
        return is_sender

    def record_call(self, target_id: str, now: float) -> None:
        """Records that this node is sending a call to a cold target."""
        self._last_sent_at[target_id] = now

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that was removed."""
        self._last_sent_at.pop(target_id, None)
        self._is_sender_cache.pop(target_id, None)
