"""Grants and fences of a stand-in target."""

import dataclasses
import time
import typing

from jujubeyard import durations
from jujubeyard.ownership import demand
from platform_standins import records

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


class Recorder(typing.Protocol):
    """Takes down what a target does."""

    def add(self, event: records.Event) -> None:
        """Takes down an event."""


class HeldKeys:
    """Keys held by one life of a target.

    Keys are tracked in buckets of consecutive keys.
    """

    def __init__(self, recorder: Recorder):
        """Starts without any held key.

        Args:
            recorder: Takes down grants and releases.
        """
        self._recorder = recorder
        self._grants: dict[int, HeldGrant] = {}
        self._highest_fences: dict[int, int] = {}

    def holds(self, bucket: int) -> bool:
        """Returns whether an unexpired grant covers a bucket."""
        grant = self._grants.get(bucket)
        return grant is not None and grant.expires_at > time.monotonic()

    def held_until(self, bucket: int) -> float:
        """Returns when the grant of a bucket expires, in monotonic seconds."""
        grant = self._grants.get(bucket)
        return grant.expires_at if grant else 0.0

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
        until = arrived_at + seconds
        for bucket in buckets:
            self._highest_fences[bucket] = fence
            self._grants[bucket] = HeldGrant(fence, until)
        self._recorder.add(
            records.Granted(
                time.monotonic(), buckets[0], buckets[-1], fence, until
            )
        )
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
        self._recorder.add(
            records.Released(time.monotonic(), buckets[0], buckets[-1], fence)
        )
        return buckets


def _buckets(document: dict) -> range:
    """Returns the buckets of the keys in a grant or release request.

    Raises:
        ValueError: The key range covers only a part of a bucket.
    """
    first, last = document["from"], document["target"]
    if first % demand.BUCKET_KEYS or (last + 1) % demand.BUCKET_KEYS:
        raise ValueError(f"keys {first} to {last} divide a bucket")
    return range(first // demand.BUCKET_KEYS, last // demand.BUCKET_KEYS + 1)
