"""Shows events of all processes as one time line."""

import asyncio
import dataclasses
import datetime

from jujubeyard import clock
from jujubeyard import context
from jujubeyard import shards
from jujubeyard.cli import processes
from jujubeyard.events import timeline
from jujubeyard.output import tables
from jujubeyard.store import records

FOLLOW_SECONDS = 1.0
MICROSECONDS = 1_000_000
_HEADINGS = ("clock", "process", "kind")


@dataclasses.dataclass(slots=True)
class Filter:
    """Which events to show.

    Attributes:
        service: Only this service; all if empty.
        key: Only the shard of this key; all if empty.
        process: Only processes whose name starts so.
        kind: Only this kind; all if empty.
        since: Only the last so many seconds; all if 0.
        record: The configuration, which tells the shard of the key.
    """

    service: str
    key: str
    process: str
    kind: str
    since: float
    record: records.ConfigRecord | None = None

    def accepts(self, event: dict) -> bool:
        """Returns whether an event is shown."""
        if self.service and event.get("service") != self.service:
            return False
        if self.kind and event["kind"] != self.kind:
            return False
        if not event["process"].startswith(self.process):
            return False
        return not self.key or self._has_key(event)

    def _has_key(self, event: dict) -> bool:
        if event.get("key") == self.key:
            return True
        service = event.get("service", "")
        counts = self.record.shard_counts if self.record else {}
        if service not in counts or "shard" not in event:
            return False
        shard = shards.shard_of(service, self.key, counts[service])
        return shard == event["shard"]


async def show(
    env: context.Environment,
    addresses: list[str],
    shown: Filter,
    follow: bool,
    as_json: bool,
) -> None:
    """Writes events until all are shown, or for ever."""
    after = 0
    if shown.since:
        after = int((clock.wall() - shown.since) * MICROSECONDS)
    while True:
        answers = await processes.ask_all(addresses, f"/events?after={after}")
        histories = [answer for answer in answers.values() if answer]
        events = timeline.merge(histories)
        for event in events:
            after = max(after, event["clock"])
            if shown.accepts(event):
                _write(env, event, as_json)
        if not follow:
            return
        await asyncio.sleep(FOLLOW_SECONDS)


def _write(env: context.Environment, event: dict, as_json: bool) -> None:
    if as_json:
        tables.write_json_line(env, event)
        return
    at = datetime.datetime.fromtimestamp(
        event["clock"] / MICROSECONDS, datetime.UTC
    )
    rest = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _HEADINGS
    )
    tables.write_lines(
        env,
        [f"{at:%H:%M:%S.%f} {event['process']:<20} {event['kind']:<16} {rest}"],
    )
