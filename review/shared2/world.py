"""Nodes as processes, with a store and upstreams on loopback addresses."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import tempfile
import time

from aiohttp import web

from platform_standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "src/jujubeyard/platform/settings.toml.template"
FRONT_PORT = 8381
READY_PORT = 8388
CONTROL_PORT = 8382
STORE_PORT = 8384
UPSTREAM_PORT = 8080
HEARTBEAT_SECONDS = 0.87
START_SECONDS = 20.0
BOUNDS = {
    "ledgerhevea-gw": {
        "seedLag": "3s",
        "reuseAfter": "2s",
        "stableWindow": "3000ms",
        "ack": "4000ms",
        "catchUp": "4s",
        "lossSlack": "200ms",
        "config": "2000ms",
        "rollbackSlack": "250ms",
        "outer": "5000ms",
        "budgetWindow": "10s",
        "recover": "15s",
        "thaw": "300ms",
        "drain": "2000ms",
        "evac": "5000ms",
        "grace": "6s",
        "holdMax": "10000ms",
        "budgetRatio": "0.2",
        "budgetExtra": "56",
        "coldBurstFactor": "1.5",
        "coldSlack": "5",
    },
    "kfwc-yard-large": {
        "seedLag": "3s",
        "reuseAfter": "2s",
        "stableWindow": "4000ms",
        "ack": "5000ms",
        "catchUp": "6s",
        "lossSlack": "200ms",
        "config": "3000ms",
        "rollbackSlack": "250ms",
        "outer": "6000ms",
        "budgetWindow": "10s",
        "recover": "15s",
        "thaw": "300ms",
        "drain": "3000ms",
        "evac": "5000ms",
        "grace": "10s",
        "holdMax": "10000ms",
        "budgetRatio": "0.2",
        "budgetExtra": "430",
        "coldBurstFactor": "1.5",
        "coldSlack": "10",
    },
}
"""Bounds of the deployments by their sites, as the sheets have them."""

MEMORY_MB = 300
HOST = "review.example"
PLACEHOLDER = re.compile(r"\{\{([a-zA-Z0-9.]+)\}\}")


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    Attributes:
        name: Name of the service.
        sharded: Whether its keys are divided among its upstreams.
        max_conns: Connections that an upstream accepts.
    """

    name: str
    sharded: bool = False
    max_conns: int = 110


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration; its prefix is its name.

    Attributes:
        name: Name of the route.
        service: Service that runs its requests.
        kind: What may be repeated.
        timeout: Longest time that a client is kept waiting.
        target_latency: Time within which an answer earns its full credit.
        max_attempts: Largest number of upstreams for a client attempt.
        priority: Rank of the route.
    """

    name: str
    service: str
    kind: str = "safe"
    timeout: str = "10s"
    target_latency: str = "2s"
    max_attempts: int = 2
    priority: int = 0


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        """Opens the file.

        Args:
            path: Path of the file.
        """
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line, with the seconds since the start of the run."""
        seconds = time.monotonic() - self._started_at
        print(f"{seconds:8.3f} {text}", file=self._file, flush=True)


@dataclasses.dataclass(slots=True)
class Node:
    """A node, which runs as a process of its own.

    Attributes:
        name: Its name.
        ip: Its address.
        settings: Path of its settings file.
        process: Its latest process.
    """

    name: str
    ip: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)


class World:
    """A small deployment: nodes, a store and what is written to it.

    Attributes:
        record: Record of the run.
        store: The store.
        prefix: First three parts of all addresses.
    """

    def __init__(self, record: Record, directory: pathlib.Path, site: str):
        """Initializes an empty deployment.

        Args:
            record: Record of the run.
            directory: Temporary folder for settings and logs.
            site: Site whose bounds hold.
        """
        self._bounds = BOUNDS[site]
        octets = (os.getpid() * 7 + time.time_ns()) & 0xFFFF
        self.prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self.record = record
        self.store = store.Store(random.Random(1))
        self._directory = directory
        self._nodes: list[Node] = []
        self._tasks: list[asyncio.Task] = []

    async def start(
        self,
        services: collections.abc.Sequence[Service],
        routes: collections.abc.Sequence[Route],
    ) -> None:
        """Starts the store, and writes the first configuration to it."""
        self._tasks.append(asyncio.create_task(self.store.run()))
        runner = web.AppRunner(self.store.make_app("any"), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, f"{self.prefix}.1", STORE_PORT).start()
        self.configure(1, services, routes)

    def configure(
        self,
        version: int,
        services: collections.abc.Sequence[Service],
        routes: collections.abc.Sequence[Route],
    ) -> None:
        """Writes a version of the configuration."""
        document = make_configuration(version, services, routes)
        self.store.put("op/config", json.dumps(document).encode())
        self.record.line(f"operator: configuration r{version}")

    def add_node(self, number: int, zone: str = "a") -> Node:
        """Returns a node, which is not started.

        Args:
            number: Its number, from 0.
            zone: Its zone.
        """
        ip = f"{self.prefix}.{10 + number}"
        path = self._directory / f"node-{number}.toml"
        path.write_text(self._fill_template(f"front-{zone}-{number}", ip, zone))
        node = Node(f"front-{zone}-{number}", ip, path)
        self._nodes.append(node)
        return node

    def _fill_template(self, name: str, ip: str, zone: str) -> str:
        """Fills in the template of the settings, as the platform does."""
        document = {
            "node": name,
            "role": "node",
            "machineClass": "front",
            "ip": ip,
            "zone": zone,
            "region": "west",
            "internalPorts": [7200, 7215],
            "bootstrap": True,
            "lossCounts": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat": f"{int(HEARTBEAT_SECONDS * 1000)}ms",
            "grants": "call",
            "listen": {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            },
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": self._bounds,
            "platform": {
                "address": f"{self.prefix}.1:{STORE_PORT}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "history": "20s",
                "valueBytes": 1048576,
                "ttlMin": "1000ms",
            },
        }
        return PLACEHOLDER.sub(
            lambda match: _look_up(document, match[1]), TEMPLATE.read_text()
        )

    def run_node(self, node: Node) -> None:
        """Starts the process of a node, with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._directory / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "jujubeyard.node",
                    "--settings-file",
                    str(node.settings),
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.line(f"platform: {node.name} started")

    async def wait_until_ready(self, node: Node) -> None:
        """Waits until a node says that it is ready.

        Raises:
            CannotRunError: It isn't ready in time.
        """
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if await is_ready(node):
                self.record.line(f"platform: {node.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} isn't ready")

    def stop(self) -> None:
        """Ends all that was started; the store ends with this process."""
        for task in self._tasks:
            task.cancel()
        for node in self._nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()


class CannotRunError(Exception):
    """The case couldn't run."""


def _look_up(document: dict, path: str) -> str:
    """Returns the value of a placeholder of the template.

    Args:
        document: All fields that the platform knows.
        path: What the placeholder names, such as "limits.memoryMb".

    Raises:
        CannotRunError: There is no such field.
    """
    value = document
    for part in path.split("."):
        try:
            value = value[int(part) if part.isdigit() else part]
        except (KeyError, IndexError, TypeError) as exc:
            raise CannotRunError(f"no field {path} for the template") from exc
    return str(value)


async def is_ready(node: Node) -> bool:
    """Asks a node once whether it is ready, as the platform does."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(node.ip, READY_PORT)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


def make_configuration(
    version: int,
    services: collections.abc.Sequence[Service],
    routes: collections.abc.Sequence[Route],
) -> dict:
    """Returns a configuration, in the shape that deploy/wire.toml asks for."""
    service_rows = [
        {
            "name": service.name,
            "healthPath": "/health",
            "maxConns": service.max_conns,
            "coldStart": "3s",
            "coldPerS": 4,
            "sharded": service.sharded or None,
        }
        for service in services
    ]
    route_rows = [
        {
            "name": route.name,
            "host": HOST,
            "prefix": f"/{route.name}/",
            "kind": route.kind,
            "timeout": route.timeout,
            "targetLatency": route.target_latency,
            "priority": route.priority,
            "service": route.service,
            "maxAttempts": route.max_attempts,
        }
        for route in routes
    ]
    return {
        "version": f"r{version}",
        "routes": _make_table(route_rows),
        "services": _make_table(service_rows),
        "limits": {
            "maxHeaderBytes": 32768,
            "maxBodyBytes": 33554432,
            "headerTimeout": "10s",
            "idleTimeout": "60s",
        },
    }


def _make_table(rows: list[dict]) -> dict:
    return {
        "columns": list(rows[0]),
        "rows": [list(row.values()) for row in rows],
    }


def run(
    record_path: pathlib.Path,
    play: collections.abc.Callable[
        [World, bool], collections.abc.Coroutine[None, None, bool]
    ],
    site: str,
) -> int:
    """Plays a case and returns its exit status.

    Args:
        record_path: Path of the record.
        play: Plays the case; is given the deployment and whether to bring the
            disruption about, and returns whether the rule held.
        site: Site whose bounds hold.
    """
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption: {'yes' if has_trouble else 'no'}")
    status = asyncio.run(_play(record, play, has_trouble, site))
    record.line(f"exit status {status}")
    return status


async def _play(record: Record, play, has_trouble: bool, site: str) -> int:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        deployment = World(record, pathlib.Path(directory), site)
        try:
            async with asyncio.timeout(115.0):
                holds = await play(deployment, has_trouble)
        except Exception as exc:
            record.line(f"the case couldn't run: {exc!r}")
            return 2
        finally:
            deployment.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(directory).glob("*.log"):
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )
    record.line("the rule held" if holds else "the rule was broken")
    return 0 if holds else 1
