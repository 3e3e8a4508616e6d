"""Detects duplicate requests at a gate.

The id of a non-repeatable request is kept for WINDOW_SECONDS. The timestamp
of a UUID version 7 shows whether an id that is not in the table was issued
before the period that the table covers. Such an id is refused, because its
request may have run already.
"""

import asyncio
import collections
import dataclasses
import uuid

WINDOW_SECONDS = 600.0
"""How long an id is kept."""

SKEW_SECONDS = 0.25
"""How far a caller's wall clock may be ahead of a gate's."""

MAX_IDS = 200_000
"""Maximum number of ids that a gate keeps."""

UUID_VERSION = 7
UUID_TIMESTAMP_SHIFT_BITS = 80
MILLISECONDS_PER_SECOND = 1000.0


@dataclasses.dataclass(slots=True)
class IdRecord:
    """The id of an accepted request.

    Attributes:
        service: Name of the service.
        shard: Shard of the request.
        request_id: The request id.
        accepted_at: When this gate accepted the request or received its id
            from another gate, in seconds since the Unix epoch.
        outcome: Future of the reply, or None if this gate does not have it,
            for example because another gate accepted the request.
    """

    service: str
    shard: int
    request_id: str
    accepted_at: float
    outcome: asyncio.Future | None


def uuid7_timestamp(request_id: str) -> float | None:
    """Returns the timestamp of a UUID version 7.

    Args:
        request_id: Text that may be a UUID.

    Returns:
        Seconds since the Unix epoch, or None if the text is not a UUID of
        version 7.
    """
    try:
        value = uuid.UUID(request_id)
    except ValueError:
        return None
    if value.version != UUID_VERSION:
        return None
    return (value.int >> UUID_TIMESTAMP_SHIFT_BITS) / MILLISECONDS_PER_SECOND


class DedupeTable:
    """The ids of recently accepted non-repeatable requests.

    The horizon of a shard is a time: requests with ids issued at or before it
    may have been accepted without being in this table.
    """

    def __init__(self, capacity: int = MAX_IDS):
        """Creates an empty table.

        Args:
            capacity: Maximum number of ids; the oldest are evicted.
        """
        self._capacity = capacity
        self._records: collections.OrderedDict[tuple[str, str], IdRecord] = (
            collections.OrderedDict()
        )
        self._horizons: dict[tuple[str, int], float] = {}
        self._evicted_until = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, service: str, request_id: str) -> IdRecord | None:
        """Returns the record of a request id, or None if it is not kept."""
        return self._records.get((service, request_id))

    def may_be_duplicate(
        self, service: str, shard: int, issued_at: float, now: float
    ) -> bool:
        """Returns whether an id that is not kept may have been accepted.

        Args:
            service: Name of the service.
            shard: Shard of the request.
            issued_at: Timestamp of the id, in seconds since the Unix epoch.
            now: Wall clock, in seconds since the Unix epoch.
        """
        horizon = self._horizons.get((service, shard), 0.0)
        window_start = now - WINDOW_SECONDS + SKEW_SECONDS
        return issued_at <= max(horizon, window_start, self._evicted_until)

    def add(self, record: IdRecord) -> None:
        """Adds an id and evicts expired ids and those beyond the capacity."""
        self._records[(record.service, record.request_id)] = record
        self._evict(record.accepted_at)

    def discard(self, service: str, request_id: str) -> None:
        """Removes an id whose call certainly did not run."""
        self._records.pop((service, request_id), None)

    def set_horizon(self, service: str, shard: int, horizon: float) -> None:
        """Raises the horizon of a shard; a lower one has no effect.

        Args:
            service: Name of the service.
            shard: Shard of the requests.
            horizon: Ids issued until this time may be missing from the
                table, in seconds since the Unix epoch.
        """
        key = (service, shard)
        self._horizons[key] = max(self._horizons.get(key, 0.0), horizon)

    def export(self, service: str, shards: set[int]) -> tuple[list, list]:
        """Returns the ids and horizons of shards, for their next gate.

        Args:
            service: Name of the service.
            shards: The shards that are handed over.

        Returns:
            Ids as [service, shard, request id] and horizons as [service,
            shard, seconds since the Unix epoch].
        """
        ids = [
            [record.service, record.shard, record.request_id]
            for record in self._records.values()
            if record.service == service and record.shard in shards
        ]
        horizons = [
            [service, shard, self._horizons.get((service, shard), 0.0)]
            for shard in sorted(shards)
        ]
        if self._evicted_until:
            horizons += [
                [service, shard, self._evicted_until] for shard in shards
            ]
        return ids, horizons

    def merge(self, ids: list, horizons: list, now: float) -> None:
        """Adds the ids and horizons that another gate exported.

        Args:
            ids: Ids in the format of export().
            horizons: Horizons in the format of export().
            now: Wall clock, in seconds since the Unix epoch.
        """
        for service, shard, request_id in ids:
            if self.find(service, request_id) is None:
                self.add(IdRecord(service, shard, request_id, now, None))
        for service, shard, horizon in horizons:
            self.set_horizon(service, shard, float(horizon))

    def _evict(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            expired = oldest.accepted_at < now - WINDOW_SECONDS
            if not expired and len(self._records) <= self._capacity:
                return
            self._records.popitem(last=False)
            if not expired:
                evicted_until = oldest.accepted_at + SKEW_SECONDS
                self._evicted_until = max(self._evicted_until, evicted_until)
