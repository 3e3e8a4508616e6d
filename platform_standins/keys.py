"""The keys that a stand-in of a target holds, and the fences it has seen."""

import collections.abc
import dataclasses
import time
import typing

from jujubeyard import durations
from jujubeyard.ownership import demand

CLOCK_RATE = 0.98
"""Rate of the slowest clock by which a target may measure a grant."""

TAKEN = 200
FENCED = 409


@dataclasses.dataclass(slots=True)
class Hold:
    """A grant that a target holds, for one bucket of keys.

    Attributes:
        fence: Its fence.
        until: When it runs out, in monotonic seconds.
    """

    fence: int
    until: float


class Observer(typing.Protocol):
    """Who is told of broken promises."""

    def record_conflict(self, detail: str) -> None:
        """Takes a key that two targets hold, or a fence that didn't grow."""


class HeldKeys:
    """What one life of a target holds, by bucket of neighbouring keys.

    Attributes:
        name: The target's name.
    """

    def __init__(
        self,
        name: str,
        observer: Observer,
        find_peers: "collections.abc.Callable[[], list[HeldKeys]]",
    ):
        """Makes keys of which none is held.

        Args:
            name: The target's name.
            observer: Told of broken promises.
            find_peers: Returns the keys of the other targets that are up.
        """
        self.name = name
        self._observer = observer
        self._find_peers = find_peers
        self._holds: dict[int, Hold] = {}
        self._fences: dict[int, int] = {}

    def clear(self) -> None:
        """Drops all that is held."""
        self._holds.clear()

    def holds(self, bucket: int) -> bool:
        """Returns whether a bucket of keys is held."""
        hold = self._holds.get(bucket)
        return hold is not None and hold.until > time.monotonic()

    def fence(self, bucket: int) -> int:
        """Returns the fence under which a bucket was granted last, or 0."""
        hold = self._holds.get(bucket)
        return hold.fence if hold else 0

    def grant(self, document: dict, arrived_at: float) -> int:
        """Takes a grant, or refuses it; returns the HTTP status.

        Args:
            document: The order.
            arrived_at: When it came, in monotonic seconds.
        """
        fence = document["fence"]
        buckets = _buckets(document)
        if any(self._fences.get(bucket, 0) > fence for bucket in buckets):
            return FENCED
        seconds = durations.parse_seconds(document["hold_time"]) / CLOCK_RATE
        for bucket in buckets:
            if self._fences.get(bucket) != fence:
                self._check_fence(bucket, fence)
            self._fences[bucket] = fence
            self._holds[bucket] = Hold(fence, arrived_at + seconds)
        return TAKEN

    def release(self, document: dict) -> range:
        """Gives keys up; returns their buckets."""
        fence = document["fence"]
        buckets = _buckets(document)
        for bucket in buckets:
            hold = self._holds.get(bucket)
            if hold is not None and hold.fence < fence:
                hold.until = 0.0
            self._fences[bucket] = max(self._fences.get(bucket, 0), fence)
        return buckets

    def check_sole_owner(self, bucket: int) -> None:
        """Reports other targets that hold a bucket which this one serves."""
        for peer in self._find_peers():
            if peer.holds(bucket):
                self._observer.record_conflict(
                    f"{self.name} runs a call on bucket {bucket} of keys, "
                    f"which {peer.name} holds under fence "
                    f"{peer.fence(bucket)} as well"
                )

    def _check_fence(self, bucket: int, fence: int) -> None:
        for peer in self._find_peers():
            if peer.fence(bucket) >= fence:
                self._observer.record_conflict(
                    f"{self.name} takes bucket {bucket} of keys under fence "
                    f"{fence}, {peer.name} had {peer.fence(bucket)}"
                )


def _buckets(document: dict) -> range:
    """Returns the buckets of an order's keys.

    Raises:
        ValueError: The order divides a bucket.
    """
    first, last = document["from"], document["target"]
    if first % demand.BUCKET_KEYS or (last + 1) % demand.BUCKET_KEYS:
        raise ValueError(f"keys {first} to {last} divide a bucket")
    return range(first // demand.BUCKET_KEYS, last // demand.BUCKET_KEYS + 1)
