"""Store, settings and node processes of a small deployment on loopback."""

import asyncio
import collections.abc
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from aiohttp import web

from platform_standins import documents
from platform_standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "src/jujubeyard/platform/settings.toml.template"
HEARTBEAT_SECONDS = 0.87
CLOSE_SECONDS = 0.2
MAX_PRINTED = 10
RULE_HELD = 0
RULE_BROKEN = 1
NOT_RUN = 2
BOUNDS = {
    "drain": "2000ms",
    "evac": "5000ms",
    "grace": "6s",
    "holdMax": "10000ms",
    "budgetRatio": "0.2",
    "budgetExtra": "64",
    "coldBurstFactor": "1.5",
    "coldSlack": "5",
}
"""The bounds of the site that the days and scripts of the review use."""


class Store(store.Store):
    """The project's stand-in, with the fields that the pages add to answers."""

    async def _open_lease(self, node, req):
        document = await req.json()
        resp = await super()._open_lease(node, req)
        lease = self._last_lease_id
        del resp
        return self._reply({"lease": lease, "ttl_time": document["ttl_time"]})


class Node:
    """A router process.

    Attributes:
        name: Its name.
        ip: Its loopback address.
        port: Port for callers.
        process: Its latest process.
    """

    def __init__(self, world: "World", number: int):
        self.name = f"node-{number}"
        self.ip = f"{world.prefix}.{10 + number}"
        ports = free_ports(self.ip, 4)
        self.port, self.ready_port = ports[:2]
        self._internal = ports[2:]
        self._world = world
        self._zone = ("a", "b", "c")[number % 3]
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts a process with the command of the deploy file."""
        path = self._world.directory / f"{self.name}.toml"
        path.write_text(self._render_settings())
        log = open(self._world.directory / f"{self.name}.log", "ab")
        command = "python3 -m jujubeyard.node --settings-file".split()
        with log:
            self.process = subprocess.Popen(
                [*command, str(path)],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
                stdout=log,
                stderr=log,
            )
        self._world.record(f"{self.name} started")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._world.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Returns whether the readiness check answers 200."""
        try:
            with socket.create_connection((self.ip, self.ready_port), 0.2) as s:
                s.settimeout(0.5)
                s.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in s.recv(64)
        except OSError:
            return False

    def _render_settings(self) -> str:
        fields = {
            "node": self.name,
            "zone": self._zone,
            "ip": self.ip,
            "listen.front": f"{self.ip}:{self.port}",
            "listen.ready": f"{self.ip}:{self.ready_port}",
            "internalPorts.0": str(self._internal[0]),
            "internalPorts.1": str(self._internal[1]),
            "platform.address": self._world.store_address_for(self),
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}
        text = TEMPLATE.read_text()
        return re.sub(r"{{([^}]+)}}", lambda m: fields[m.group(1)], text)


class World:
    """A store, upstreams and router processes, and the record of a run."""

    def __init__(self, record: pathlib.Path):
        """Creates an empty world.

        Args:
            record: File to which the record of the run is written.
        """
        octets = (os.getpid() + time.time_ns()) & 0xFFFF
        self.prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(random.Random(1))
        self.nodes: list[Node] = []
        self.violations: list[str] = []
        self.cut_calls: list[str] = []
        self.started_at = time.monotonic()
        self.store_addresses: dict[str, str] = {}
        self.closers: list[collections.abc.Callable[[], None]] = []
        self._record = open(record, "w")
        self._tasks: list[asyncio.Task] = []
        self._runner: web.AppRunner | None = None
        self._store_address = ""

    def record(self, line: str) -> None:
        """Writes a line to the record, with the time since the start."""
        seconds = time.monotonic() - self.started_at
        self._record.write(f"{seconds:9.3f} {line}\n")

    def violate(self, line: str) -> None:
        """Records that the rule was broken."""
        self.violations.append(line)
        self.record(f"RULE BROKEN: {line}")

    def store_address_for(self, node: Node) -> str:
        """Returns the store's address for a node, which may be a proxy's."""
        return self.store_addresses.get(node.name, self._store_address)

    async def start(self, node_count: int, services, routes) -> None:
        """Starts the store with a first configuration, and the routers."""
        await self.start_store(services, routes)
        for number in range(node_count):
            self.nodes.append(Node(self, number))
        for node in self.nodes:
            node.start()

    async def start_store(self, services, routes) -> None:
        """Starts the store with a first configuration."""
        ip = f"{self.prefix}.2"
        port = free_ports(ip, 1)[0]
        self._runner = web.AppRunner(
            self.store.make_app("all"), access_log=None, shutdown_timeout=0.0
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port).start()
        self._store_address = f"{ip}:{port}"
        self.spawn(self.store.run())
        self.store.put(
            documents.CONFIGURATION_KEY,
            documents.make_configuration(1, services, routes),
        )

    async def wait_until_ready(self) -> None:
        """Waits until all routers are ready.

        Raises:
            TimeoutError: They aren't in time.
        """
        async with asyncio.timeout(30.0):
            while not all(
                await asyncio.gather(
                    *(asyncio.to_thread(n.is_ready) for n in self.nodes)
                )
            ):
                await asyncio.sleep(0.1)

    def spawn(self, coro) -> asyncio.Task:
        """Runs a coroutine in the background until the world is closed."""
        task = asyncio.create_task(coro)
        self._tasks.append(task)
        return task

    def check_running(self) -> None:
        """Checks that routers and stand-ins still run at the end of a case.

        Raises:
            RuntimeError: A router has ended or a stand-in has failed.
        """
        for node in self.nodes:
            if node.process.poll() is not None:
                raise RuntimeError(f"{node.name} has ended")
        for task in self._tasks:
            if task.done():
                raise RuntimeError(f"a stand-in has ended: {task!r}")

    async def close(self) -> None:
        """Ends all processes and tasks that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for close in self.closers:
            close()
        if self._runner is not None:
            await self._runner.cleanup()
        await asyncio.sleep(CLOSE_SECONDS)
        self._record.close()
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports on which nothing listens at an address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def has_trouble() -> bool:
    """Returns whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(record: pathlib.Path, play, limit_seconds: float = 110.0) -> int:
    """Plays a case and returns its exit status.

    Args:
        record: File to which the record of the run is written.
        play: Coroutine function that plays the case in a world.
        limit_seconds: Longest duration of the run.

    Returns:
        RULE_BROKEN, RULE_HELD or NOT_RUN.
    """
    signal.signal(signal.SIGTERM, _exit)
    home = World(record)
    try:
        asyncio.run(_play(home, play, limit_seconds))
    except Exception as exc:
        print(f"could not run: {exc!r}")
        if not home.violations:
            return NOT_RUN
    for line in home.violations[:MAX_PRINTED]:
        print(f"RULE BROKEN: {line}")
    print(f"rule broken {len(home.violations)} times")
    return RULE_BROKEN if home.violations else RULE_HELD


def _exit(number: int, frame: object) -> None:
    raise SystemExit(NOT_RUN)


async def _play(home: World, play, limit_seconds: float) -> None:
    try:
        async with asyncio.timeout(limit_seconds):
            await play(home)
        home.check_running()
    finally:
        await home.close()
