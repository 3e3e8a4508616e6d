"""Prints the events of several processes as one timeline."""

import asyncio
import dataclasses
import datetime

from jujubeyard import clock
from jujubeyard import context
from jujubeyard import shards
from jujubeyard.cli import admin_client
from jujubeyard.events import timeline
from jujubeyard.output import tables
from jujubeyard.store import records

POLL_INTERVAL_SECONDS = 1.0
MICROSECONDS_PER_SECOND = 1_000_000
_COLUMNS = ("clock", "process", "kind")


@dataclasses.dataclass(slots=True)
class EventFilter:
    """Criteria that an event must meet to be printed.

    Attributes:
        service: Name of the service; empty for all.
        key: Key whose events, or whose shard's events, match; empty for all.
        process: Prefix of the process name; empty for all.
        kind: Kind of event; empty for all.
        since: Maximum age in seconds at the start; 0 for all.
        record: The configuration, whose shard counts map the key to its shard;
            without it, only events with the key itself match.
    """

    service: str
    key: str
    process: str
    kind: str
    since: float
    record: records.ConfigRecord | None = None

    def matches(self, event: dict) -> bool:
        """Returns whether an event meets all criteria but `since`."""
        if self.service and event.get("service") != self.service:
            return False
        if self.kind and event["kind"] != self.kind:
            return False
        if not event["process"].startswith(self.process):
            return False
        return not self.key or self._matches_key(event)

    def _matches_key(self, event: dict) -> bool:
        if event.get("key") == self.key:
            return True
        service = event.get("service", "")
        counts = self.record.shard_counts if self.record else {}
        if service not in counts or "shard" not in event:
            return False
        shard = shards.shard_of(service, self.key, counts[service])
        return shard == event["shard"]


async def print_events(
    env: context.Environment,
    addresses: list[str],
    event_filter: EventFilter,
    follow: bool,
    as_json: bool,
) -> None:
    """Prints the matching events of all processes in the order of their clocks.

    Args:
        env: Output streams.
        addresses: Admin addresses of the processes.
        event_filter: Criteria that an event must meet.
        follow: Whether to poll for new events until cancelled.
        as_json: Whether to print each event as one line of JSON.
    """
    after = 0
    if event_filter.since:
        after = int(
            (clock.wall() - event_filter.since) * MICROSECONDS_PER_SECOND
        )
    while True:
        documents = await admin_client.fetch_all(
            addresses, f"/events?after={after}"
        )
        histories = [document for document in documents.values() if document]
        events = timeline.merge(histories)
        for event in events:
            after = max(after, event["clock"])
            if event_filter.matches(event):
                _print_event(env, event, as_json)
        if not follow:
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _print_event(env: context.Environment, event: dict, as_json: bool) -> None:
    if as_json:
        tables.write_json_line(env, event)
        return
    at = datetime.datetime.fromtimestamp(
        event["clock"] / MICROSECONDS_PER_SECOND, datetime.UTC
    )
    rest = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _COLUMNS
    )
    tables.write_lines(
        env,
        [f"{at:%H:%M:%S.%f} {event['process']:<20} {event['kind']:<16} {rest}"],
    )
