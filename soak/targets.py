"""The target processes of a soak, and their listings in the store."""

import asyncio
import dataclasses
import pathlib
import signal
import subprocess
import sys
import time

from platform_standins import store
from platform_standins import target
from platform_standins import target_process

MISSED_HEARTBEATS_UNTIL_REMOVAL = 3
START_SECONDS = 20.0
"""Longest time that a target process takes to start."""


@dataclasses.dataclass(slots=True)
class Life:
    """One process of a target.

    Attributes:
        record: Path of the record that the process writes.
        ended_at: When the process ended, in monotonic seconds; infinite until
            then.
    """

    record: pathlib.Path
    ended_at: float = float("inf")


class Target:
    """One life of a target, which runs as a process of its own.

    Attributes:
        name: Name of the target.
        service: Its service.
        zone: Its availability zone.
        address: Address to which nodes connect, as "IP:PORT".
        life: Its record, and when it ended.
        is_draining: Whether it is draining.
        is_frozen: Whether its process is suspended.
        is_store_unreachable: Whether its listing is no longer updated.
    """

    def __init__(
        self,
        spec: target_process.Spec,
        directory: pathlib.Path,
        listings: "Listings",
    ):
        self.name = spec.name
        self.service = spec.service
        self.zone = spec.zone
        self.address = spec.address
        self.life = Life(pathlib.Path(spec.record))
        self.is_draining = False
        self.is_frozen = False
        self.is_store_unreachable = False
        self._spec = spec
        self._directory = directory
        self._listings = listings
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        is_started = self._process is not None
        return is_started and self.life.ended_at == float("inf")

    async def start(self) -> None:
        """Starts the process, and waits until it serves requests.

        Raises:
            TimeoutError: It doesn't.
        """
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                target_process.__name__,
                self._spec.dump(),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._reader = asyncio.create_task(self._read_listings())
        async with asyncio.timeout(START_SECONDS):
            while not self._has_started():
                await asyncio.sleep(0.01)

    def _has_started(self) -> bool:
        path = self.life.record
        return path.exists() and path.stat().st_size > 0

    async def _read_listings(self) -> None:
        """Passes on what the process writes to the store."""
        while line := await self._process.stdout.readline():
            write = target_process.load_listing_write(line)
            if not self.is_store_unreachable:
                self._listings.apply(write)

    def set_faults(self, **faults: float) -> None:
        """Sets faults of the target, by the names of `target.Faults`."""
        self._send(target_process.Command("set_faults", faults))

    def drain(self) -> None:
        """Makes the target publish that it is draining."""
        self.is_draining = True
        self._send(target_process.Command("drain"))

    def deregister(self) -> None:
        """Makes the target remove its listing; it continues to serve."""
        self._send(target_process.Command("deregister"))

    def stop_accepting(self) -> None:
        """Makes the target serve only the connections that are open."""
        self._send(target_process.Command("stop_accepting"))

    def _send(self, command: target_process.Command) -> None:
        if self.is_up:
            self._process.stdin.write(command.dump())

    def freeze(self) -> None:
        """Suspends the process."""
        self._signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes the process."""
        self._signal(signal.SIGCONT)
        self.is_frozen = False

    def _signal(self, signum: signal.Signals) -> None:
        if self.is_up:
            self._process.send_signal(signum)

    async def crash(self) -> None:
        """Kills the process; the listing expires after missed heartbeats."""
        if not self.is_up:
            return
        self._process.kill()
        await self._process.wait()
        self.life.ended_at = time.monotonic()
        self._reader.cancel()


class Listings:
    """The listings of targets in the store, with their heartbeats."""

    def __init__(self, kv_store: store.Store):
        self._store = kv_store
        self._heartbeats: dict[str, float] = {}

    def apply(self, write: target_process.ListingWrite) -> None:
        """Writes or removes a listing, unless the store is down.

        A heartbeat is noted in any case, so that the listings of targets that
        are up outlast an outage of the store.
        """
        if write.value is not None:
            self._heartbeats[write.key] = time.monotonic()
        if self._store.faults.is_down():
            return
        if write.value is None:
            self._heartbeats.pop(write.key, None)
            self._store.remove(write.key)
            return
        self._store.put(write.key, write.value)

    async def run(self) -> None:
        """Removes listings after missed heartbeats, until cancelled."""
        limit = MISSED_HEARTBEATS_UNTIL_REMOVAL * target.HEARTBEAT_SECONDS
        while True:
            await asyncio.sleep(target.HEARTBEAT_SECONDS / 4)
            if self._store.faults.is_down():
                continue
            oldest = time.monotonic() - limit
            for key, at in list(self._heartbeats.items()):
                if at < oldest:
                    del self._heartbeats[key]
                    self._store.remove(key)
