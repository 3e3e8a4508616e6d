"""What a stand-in target does, as lines of a file of its own.

Each life of a target writes one file. All times are monotonic seconds, which
all processes of a machine share.
"""

import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The target began to serve requests.

    Attributes:
        at: When it did.
        target: Name of the target.
        service: Name of its service.
    """

    at: float
    target: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The target took a grant, which may renew one that it has.

    Attributes:
        at: When it took the grant.
        first: First bucket of keys.
        last: Last bucket of keys, inclusive.
        fence: Fence of the grant.
        until: End of the grant on the slowest clock that a target may have.
    """

    at: float
    first: int
    last: int
    fence: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The target gave up keys.

    Attributes:
        at: When it did; calls that it had begun before may still run.
        first: First bucket of keys.
        last: Last bucket of keys, inclusive.
        fence: Fence of the release.
    """

    at: float
    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached a target.

    Attributes:
        call_id: ID of the call.
        target: Name of the target.
        service: Name of the target's service.
        at: Arrival time in monotonic seconds.
        was_cold: Whether the target was cold.
        ran: Whether the target started to process the call.
        bucket: Bucket of its key; -1 if it has none.
    """

    call_id: str
    target: str
    service: str
    at: float
    was_cold: bool
    ran: bool
    bucket: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The target stopped to process a call.

    Attributes:
        at: When it did.
        call_id: ID of the call.
    """

    at: float
    call_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Responded:
    """The target created a response.

    Attributes:
        call_id: ID of the call.
        body: Body of the response.
    """

    call_id: str
    body: str


Event = Started | Granted | Released | Arrival | Ended | Responded
_EVENT_TYPES = {
    event_type.__name__: event_type
    for event_type in (Started, Granted, Released, Arrival, Ended, Responded)
}


class Record:
    """The file to which one life of a target writes what it does."""

    def __init__(self, path: pathlib.Path):
        """Opens the file.

        Args:
            path: Its path.
        """
        # Unbuffered, since the process may be killed at any moment.
        self._file = path.open("xb", buffering=0)

    def add(self, event: Event) -> None:
        """Writes an event."""
        fields = [
            getattr(event, field.name) for field in dataclasses.fields(event)
        ]
        line = json.dumps([type(event).__name__, *fields])
        self._file.write(line.encode() + b"\n")


def read(path: pathlib.Path) -> list[Event]:
    """Returns the events of a record, in order.

    A last line that its process was killed in is left out.
    """
    lines = path.read_bytes().split(b"\n")[:-1]
    return [_parse(line) for line in lines]


def _parse(line: bytes) -> Event:
    name, *fields = json.loads(line)
    return _EVENT_TYPES[name](*fields)
