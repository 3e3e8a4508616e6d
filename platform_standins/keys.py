"""Grants and fences of a stand-in target."""

import collections.abc
import dataclasses
import time
import typing

from jujubeyard import durations
from jujubeyard.ownership import demand

CLOCK_RATE = 0.98
"""Rate of the slowest clock with which a target may time a grant."""

HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant that a target holds for one bucket of keys.

    Attributes:
        fence: Fence of the grant.
        expires_at: Expiry time in monotonic seconds.
    """

    fence: int
    expires_at: float


class Observer(typing.Protocol):
    """Receiver of ownership conflicts."""

    def record_conflict(self, detail: str) -> None:
        """Records that two targets held a key, or a fence did not increase."""


class HeldKeys:
    """Keys held by one incarnation of a target.

    Keys are tracked in buckets of consecutive keys.

    Attributes:
        name: Name of the target.
    """

    def __init__(
        self,
        name: str,
        observer: Observer,
        find_peers: "collections.abc.Callable[[], list[HeldKeys]]",
    ):
        """Starts without any held key.

        Args:
            name: Name of the target.
            observer: Receiver of ownership conflicts.
            find_peers: Returns the held keys of each other target of the
                service that is up.
        """
        self.name = name
        self._observer = observer
        self._find_peers = find_peers
        self._grants: dict[int, HeldGrant] = {}
        self._highest_fences: dict[int, int] = {}

    def clear(self) -> None:
        """Drops all grants."""
        self._grants.clear()

    def holds(self, bucket: int) -> bool:
        """Returns whether an unexpired grant covers a bucket."""
        grant = self._grants.get(bucket)
        return grant is not None and grant.expires_at > time.monotonic()

    def fence(self, bucket: int) -> int:
        """Returns the fence of the latest grant of a bucket, or 0."""
        grant = self._grants.get(bucket)
        return grant.fence if grant else 0

    def grant(self, document: dict, arrived_at: float) -> int:
        """Applies or rejects a grant request.

        A request is rejected if a higher fence was seen for any of its keys.

        Args:
            document: Body of the request.
            arrived_at: Arrival time of the request in monotonic seconds.

        Returns:
            The HTTP status of the reply.
        """
        fence = document["fence"]
        buckets = _buckets(document)
        if any(
            self._highest_fences.get(bucket, 0) > fence for bucket in buckets
        ):
            return HTTP_CONFLICT
        seconds = durations.parse_seconds(document["hold_time"]) / CLOCK_RATE
        for bucket in buckets:
            if self._highest_fences.get(bucket) != fence:
                self._check_fence(bucket, fence)
            self._highest_fences[bucket] = fence
            self._grants[bucket] = HeldGrant(fence, arrived_at + seconds)
        return HTTP_OK

    def release(self, document: dict) -> range:
        """Applies a release request; returns the released buckets."""
        fence = document["fence"]
        buckets = _buckets(document)
        for bucket in buckets:
            grant = self._grants.get(bucket)
            if grant is not None and grant.fence < fence:
                grant.expires_at = 0.0
            self._highest_fences[bucket] = max(
                self._highest_fences.get(bucket, 0), fence
            )
        return buckets

    def check_sole_owner(self, bucket: int) -> None:
        """Reports each other target that holds a bucket served by this one."""
        for peer in self._find_peers():
            if peer.holds(bucket):
                self._observer.record_conflict(
                    f"{self.name} runs a call on key bucket {bucket}, "
                    f"which is also held by {peer.name} under fence "
                    f"{peer.fence(bucket)}"
                )

    def _check_fence(self, bucket: int, fence: int) -> None:
        for peer in self._find_peers():
            if peer.fence(bucket) >= fence:
                self._observer.record_conflict(
                    f"{self.name} accepted key bucket {bucket} under fence "
                    f"{fence}, but {peer.name} had fence {peer.fence(bucket)}"
                )


def _buckets(document: dict) -> range:
    """Returns the buckets of the keys in a grant or release request.

    Raises:
        ValueError: The key range covers only a part of a bucket.
    """
    first, last = document["from"], document["target"]
    if first % demand.BUCKET_KEYS or (last + 1) % demand.BUCKET_KEYS:
        raise ValueError(f"keys {first} to {last} divide a bucket")
    return range(first // demand.BUCKET_KEYS, last // demand.BUCKET_KEYS + 1)
