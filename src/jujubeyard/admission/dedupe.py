"""Recognizes requests that a gate has already taken on.

A non-repeatable request id is remembered for WINDOW_SECONDS. Ids that a gate
can't know about, because they are older than its memory, are told apart by
the time inside a UUID of version 7, so that a forgotten id is refused rather
than run again.
"""

import asyncio
import collections
import dataclasses
import uuid

WINDOW_SECONDS = 600.0
"""How long an id is remembered."""

SKEW_SECONDS = 0.25
"""By how much a caller's wall clock may be ahead of a gate's."""

MAX_IDS = 200_000
"""Ids that a gate remembers."""

UUID_VERSION = 7
UUID_TIME_SHIFT = 80
MILLISECONDS = 1000.0


@dataclasses.dataclass(slots=True)
class IdRecord:
    """One remembered request id.

    Attributes:
        service: Name of the service.
        shard: Shard of the request.
        request_id: The id.
        seen_at: When it was taken on, in seconds since the epoch.
        outcome: A future of the answer, or None if it is not known here.
    """

    service: str
    shard: int
    request_id: str
    seen_at: float
    outcome: asyncio.Future | None


def uuid7_timestamp(request_id: str) -> float | None:
    """Returns the time in a UUID of version 7, or None if it is none."""
    try:
        value = uuid.UUID(request_id)
    except ValueError:
        return None
    if value.version != UUID_VERSION:
        return None
    return (value.int >> UUID_TIME_SHIFT) / MILLISECONDS


class DedupeTable:
    """The request ids of non-repeatable calls that a gate remembers."""

    def __init__(self, capacity: int = MAX_IDS):
        self._capacity = capacity
        self._rows: collections.OrderedDict[tuple[str, str], IdRecord] = (
            collections.OrderedDict()
        )
        self._horizons: dict[tuple[str, int], float] = {}
        self._evicted_until = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, service: str, request_id: str) -> IdRecord | None:
        """Returns the row of a remembered id, or None."""
        return self._rows.get((service, request_id))

    def may_be_duplicate(
        self, service: str, shard: int, issued_at: float, now: float
    ) -> bool:
        """Returns whether an unknown id may have been taken on before.

        Args:
            service: Name of the service.
            shard: Shard of the request.
            issued_at: The time inside the id, seconds since the epoch.
            now: The wall clock.
        """
        horizon = self._horizons.get((service, shard), 0.0)
        oldest = now - WINDOW_SECONDS + SKEW_SECONDS
        return issued_at <= max(horizon, oldest, self._evicted_until)

    def add(self, row: IdRecord) -> None:
        """Remembers an id; the oldest one is forgotten if there is no room."""
        self._rows[(row.service, row.request_id)] = row
        self._expire(row.seen_at)

    def discard(self, service: str, request_id: str) -> None:
        """Forgets an id whose call certainly did not run."""
        self._rows.pop((service, request_id), None)

    def set_horizon(self, service: str, shard: int, horizon: float) -> None:
        """Notes that ids issued before a time may be unknown here."""
        key = (service, shard)
        self._horizons[key] = max(self._horizons.get(key, 0.0), horizon)

    def export(self, service: str, shards: set[int]) -> tuple[list, list]:
        """Returns what another gate has to know to take shards on.

        Returns:
            Ids as [service, shard, request id] and horizons as [service,
            shard, seconds since the epoch].
        """
        ids = [
            [row.service, row.shard, row.request_id]
            for row in self._rows.values()
            if row.service == service and row.shard in shards
        ]
        horizons = [
            [service, shard, self._horizons.get((service, shard), 0.0)]
            for shard in sorted(shards)
        ]
        if self._evicted_until:
            horizons += [[service, s, self._evicted_until] for s in shards]
        return ids, horizons

    def merge(self, ids: list, horizons: list, now: float) -> None:
        """Remembers what another gate exported."""
        for service, shard, request_id in ids:
            if self.find(service, request_id) is None:
                self.add(IdRecord(service, shard, request_id, now, None))
        for service, shard, horizon in horizons:
            self.set_horizon(service, shard, float(horizon))

    def _expire(self, now: float) -> None:
        while self._rows:
            oldest = next(iter(self._rows.values()))
            expired = oldest.seen_at < now - WINDOW_SECONDS
            if not expired and len(self._rows) <= self._capacity:
                return
            self._rows.popitem(last=False)
            if not expired:
                until = oldest.seen_at + SKEW_SECONDS
                self._evicted_until = max(self._evicted_until, until)
