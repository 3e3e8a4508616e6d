"""The processes and stand-ins of a soak, on loopback."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from aiohttp import web

from platform_standins import documents
from platform_standins import store
from platform_standins import target
from soak import observations
from soak import proxy

ZONES = ("a", "b")
SERVICES = {
    "desk": documents.Service("desk", True, 4, 0.04),
    "pool": documents.Service("pool", False, 4, 0.03),
    "depot": documents.Service("depot", False, 4, 0.03),
}
TARGET_COUNTS = {"desk": 5, "pool": 4, "depot": 3}
NODE_COUNT = 4
CALLER_PORT = 8381
READINESS_PORT = 8388
METRICS_PORT = 7200
REPORTS_PORT = 7201
STORE_PORT = 8384
TARGET_PORT = 8000
PUBLIC_TARGET_PORT = 8080
FIRST_NODE_OCTET = 10
FIRST_STORE_PROXY_OCTET = 30
FIRST_TARGET_OCTET = 100
RESTART_SECONDS = 0.5
DRAIN_SECONDS = 2.0
EVACUATION_SECONDS = 5.0
SHUTDOWN_SECONDS = 6.0
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 24
COLD_FACTOR = 1.5
COLD_SLACK = 5
SETTINGS_TEMPLATE = f"""\
node = "{{name}}"
zone = "{{zone}}"
listen = "{{ip}}:{CALLER_PORT}"
readiness = "{{ip}}:{READINESS_PORT}"
metrics = "{{ip}}:{METRICS_PORT}"
reports = "{{ip}}:{REPORTS_PORT}"
store = "{{store}}"
# {{comment}}

[limits]
drain = "{DRAIN_SECONDS}s"
evacuation = "{EVACUATION_SECONDS}s"
shutdown = "{SHUTDOWN_SECONDS}s"
max_hold = "10s"
retry_ratio = {RETRY_RATIO}
retry_allowance = {RETRY_ALLOWANCE}
cold_factor = {COLD_FACTOR}
cold_slack = {COLD_SLACK}
"""


@dataclasses.dataclass(slots=True)
class Node:
    """A node of the soak.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ip: Its IP number.
        door: Its link to the store.
        process: Its process.
        life: Number of its process, from 1.
        should_run: Whether its process is to run.
        is_ready: Whether callers are sent to it.
    """

    name: str
    zone: str
    ip: str
    store_proxy: proxy.Proxy
    process: subprocess.Popen | None = None
    incarnation: int = 0
    should_run: bool = True
    is_ready: bool = False

    @property
    def url(self) -> str:
        """Base of the URLs at which it takes calls."""
        return f"http://{self.ip}:{CALLER_PORT}"


class Fleet:
    """Starts, stops and finds nodes, targets and the store.

    Attributes:
        nodes: Nodes by name.
        targets: The targets that were started, in order.
        links: Proxy to each target, by the target's name.
        store: The store.
        record: What is seen.
        is_stopping: Whether nodes are to stay down.
    """

    def __init__(self, rng: random.Random, directory: pathlib.Path):
        self._rng = rng
        self._directory = directory
        octets = (os.getpid() + time.time_ns()) & 0xFFFF
        self._prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self.observed = observations.Observations(time.monotonic())
        self.store = store.Store(rng)
        self.nodes: dict[str, Node] = {}
        self.targets: list[target.Target] = []
        self.target_proxies: dict[str, proxy.Proxy] = {}
        self.is_stopping = False
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task] = []
        self._last_target_number = 0

    async def start(self) -> None:
        """Starts all."""
        self._tasks.append(asyncio.create_task(self.store.run()))
        for service, count in TARGET_COUNTS.items():
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                await self.add_target(service, zone, is_cold=False)
        for number in range(NODE_COUNT):
            await self._add_node(number)
        self._tasks.append(asyncio.create_task(self._restart_ended_nodes()))

    async def stop(self) -> None:
        """Ends all that was started."""
        self.is_stopping = True
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        for row in self.targets:
            if row.is_up:
                await row.crash()
        for each in [
            *self.target_proxies.values(),
            *(n.store_proxy for n in self._nodes()),
        ]:
            each.close()
        for runner in self._runners:
            await runner.cleanup()

    def peers(self, service: str) -> list[target.Target]:
        """Returns all targets of a service that are up."""
        return [
            row
            for row in self.targets
            if row.is_up and row.service.name == service
        ]

    def stable_targets(self) -> list[target.Target]:
        """Returns the targets that are up and stay."""
        return [r for r in self.targets if r.is_up and not r.is_draining]

    async def add_target(
        self, service: str, zone: str, is_cold: bool = True
    ) -> target.Target:
        """Starts a target at an address of its own."""
        self._last_target_number += 1
        name = f"{service}-{self._last_target_number}"
        ip = f"{self._prefix}.{FIRST_TARGET_OCTET + self._last_target_number}"
        made = target.Target(
            name,
            SERVICES[service],
            zone,
            f"{ip}:{PUBLIC_TARGET_PORT}",
            self.store,
            self.observed,
            self,
            self._rng,
            is_cold,
        )
        target_proxy = proxy.Proxy((ip, TARGET_PORT))
        await target_proxy.start(ip, PUBLIC_TARGET_PORT)
        await made.start(ip, TARGET_PORT)
        self.target_proxies[name] = target_proxy
        self.targets.append(made)
        self.observed.zones[name] = zone
        return made

    def spawn(self, node: Node, comment: str = "") -> None:
        """Starts a node's process.

        Raises:
            RuntimeError: Its process before still runs.
        """
        if node.process is not None and node.process.poll() is None:
            raise RuntimeError(f"{node.name} still runs")
        node.incarnation += 1
        node.is_ready = False
        path = self._directory / f"{node.name}.toml"
        path.write_text(self._settings(node, comment))
        with open(self._directory / f"{node.name}.log", "ab") as output:
            node.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "jujubeyard.node",
                    "--settings-file",
                    str(path),
                ],
                stdout=output,
                stderr=output,
            )

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Sends a signal to a node's process, if it runs."""
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(number)

    def replace_settings(self, node: Node, comment: str) -> None:
        """Replaces a node's settings file."""
        path = self._directory / f"{node.name}.toml"
        path.write_text(self._settings(node, comment))

    def _nodes(self) -> list[Node]:
        return list(self.nodes.values())

    def _settings(self, node: Node, comment: str) -> str:
        number = list(self.nodes).index(node.name)
        return SETTINGS_TEMPLATE.format(
            name=node.name,
            zone=node.zone,
            ip=node.ip,
            store=f"{self._prefix}.{FIRST_STORE_PROXY_OCTET + number}:{STORE_PORT}",
            comment=comment,
        )

    async def _add_node(self, number: int) -> None:
        name = f"node-{number}"
        store_proxy_ip = f"{self._prefix}.{FIRST_STORE_PROXY_OCTET + number}"
        runner = web.AppRunner(
            self.store.make_app(name), access_log=None, shutdown_timeout=0.0
        )
        await runner.setup()
        await web.TCPSite(runner, store_proxy_ip, STORE_PORT + 1).start()
        self._runners.append(runner)
        store_proxy = proxy.Proxy((store_proxy_ip, STORE_PORT + 1))
        await store_proxy.start(store_proxy_ip, STORE_PORT)
        ip = f"{self._prefix}.{FIRST_NODE_OCTET + number}"
        node = Node(name, ZONES[number % len(ZONES)], ip, store_proxy)
        self.nodes[name] = node
        self.spawn(node)

    async def _restart_ended_nodes(self) -> None:
        """Restarts nodes that have ended, as the platform does."""
        while not self.is_stopping:
            await asyncio.sleep(RESTART_SECONDS / 5)
            for node in self._nodes():
                if not node.should_run or node.process.poll() is None:
                    continue
                now = time.monotonic()
                self.observed.add_finding(
                    observations.Rule.ENDED,
                    now,
                    f"{node.name} ended with {node.process.returncode}",
                )
                self.spawn(node)
