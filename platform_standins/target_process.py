"""Runs a stand-in target as a process of its own.

Its parent process writes commands to its standard input, a line each, and reads
from its standard output what the target writes to the store. The process ends
with its parent.
"""

import asyncio
import base64
import dataclasses
import json
import pathlib
import random
import sys

from platform_standins import documents
from platform_standins import records
from platform_standins import target


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """What a target process needs to know at its start.

    Attributes:
        name: Name of the target.
        service: Its service.
        zone: Its availability zone.
        address: Address to which nodes connect, as "IP:PORT".
        host: IP address to listen on.
        port: TCP port to listen on.
        record: Path of the record of this life.
        seed: Seed of its random generator.
        is_cold: Whether it starts cold.
        listing_delay: Time until it is listed, in seconds.
    """

    name: str
    service: documents.Service
    zone: str
    address: str
    host: str
    port: int
    record: str
    seed: int
    is_cold: bool = False
    listing_delay: float = 0.0

    def dump(self) -> str:
        """Returns the text from which `load` makes it again."""
        return json.dumps(dataclasses.asdict(self))


def load_spec(text: str) -> Spec:
    """Parses what `Spec.dump` returned."""
    fields = json.loads(text)
    return Spec(**fields | {"service": documents.Service(**fields["service"])})


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """What the parent process asks of a target.

    Attributes:
        name: `set_faults`, `drain`, `deregister` or `stop_accepting`.
        faults: New values of faults, by their names.
    """

    name: str
    faults: dict[str, float] = dataclasses.field(default_factory=dict)

    def dump(self) -> bytes:
        """Returns the line that is sent to the target."""
        return json.dumps(dataclasses.asdict(self)).encode() + b"\n"


def load_command(line: bytes) -> Command:
    """Parses a line that `Command.dump` returned."""
    return Command(**json.loads(line))


@dataclasses.dataclass(frozen=True, slots=True)
class ListingWrite:
    """What a target writes to the store.

    Attributes:
        key: Key of the item.
        value: Its value; None if it is removed.
    """

    key: str
    value: bytes | None

    def dump(self) -> bytes:
        """Returns the line that is sent to the parent process."""
        value = base64.b64encode(self.value or b"").decode()
        is_removed = self.value is None
        fields = [self.key, None if is_removed else value]
        return json.dumps(fields).encode() + b"\n"


def load_listing_write(line: bytes) -> ListingWrite:
    """Parses a line that `ListingWrite.dump` returned."""
    key, value = json.loads(line)
    return ListingWrite(key, None if value is None else base64.b64decode(value))


class ParentStore:
    """Passes what a target writes to the store to the parent process."""

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self._send(ListingWrite(key, value))

    def remove(self, key: str) -> None:
        """Removes an item."""
        self._send(ListingWrite(key, None))

    def _send(self, write: ListingWrite) -> None:
        sys.stdout.buffer.write(write.dump())
        sys.stdout.buffer.flush()


async def _carry_out(member: target.Target, command: Command) -> None:
    if command.name == "set_faults":
        member.faults = dataclasses.replace(member.faults, **command.faults)
    elif command.name == "drain":
        member.drain()
    elif command.name == "deregister":
        member.deregister()
    elif command.name == "stop_accepting":
        await member.stop_accepting()


async def _run(spec: Spec) -> None:
    member = target.Target(
        spec.name,
        spec.service,
        spec.zone,
        spec.address,
        ParentStore(),
        records.Record(pathlib.Path(spec.record)),
        random.Random(spec.seed),
        spec.is_cold,
    )
    await member.start(spec.host, spec.port, spec.listing_delay)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        await _carry_out(member, load_command(line))


if __name__ == "__main__":
    asyncio.run(_run(load_spec(sys.argv[1])))
