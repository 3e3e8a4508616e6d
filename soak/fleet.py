"""The node processes and platform stand-ins of a soak, on loopback."""

import asyncio
import collections
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from aiohttp import web

from jujubeyard.ownership import leader
from jujubeyard.platform import decoder
from platform_standins import documents
from platform_standins import records
from platform_standins import store
from platform_standins import target_process
from soak import observations
from soak import ownership_checks
from soak import proxy
from soak import targets

SERVICES = {
    "desk": documents.Service("desk", True, 4, 0.04),
    "pool": documents.Service("pool", False, 4, 0.03),
    "depot": documents.Service("depot", False, 4, 0.03),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The size of a fleet.

    Attributes:
        zones: Its availability zones.
        node_count: Number of its nodes.
        target_counts: Number of targets of each service.
        caller_count: Number of callers.
    """

    zones: tuple[str, ...]
    node_count: int
    target_counts: dict[str, int]
    caller_count: int


SHAPES = {
    "small": Shape(("a", "b"), 4, {"desk": 5, "pool": 4, "depot": 3}, 24),
    "ledger": Shape(
        ("a", "b", "c", "d"), 8, {"desk": 15, "pool": 8, "depot": 8}, 60
    ),
}
"""The second one has the size of the deployment of ledgers."""

CALLER_PORT = 8381
READINESS_PORT = 8388
METRICS_PORT = 7200
REPORTS_PORT = 7201
STORE_PORT = 8384
TARGET_PORT = 8000
"""Port of a target, behind its proxy."""

PUBLIC_TARGET_PORT = 8080
"""Port of the proxy in front of a target, at which nodes reach it."""

FIRST_NODE_OCTET = 10
"""Last octet of the first node's IP address."""

FIRST_STORE_PROXY_OCTET = 30
"""Last octet of the IP address of the first node's store proxy."""

TARGET_OCTET_BASE = 100
"""Base of the last octet of a target's IP address; its number is added."""

RESTART_SECONDS = 0.5

# Limits in the settings of the nodes; the checks use them too.
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
    """A node of the soak, which runs as a process of its own.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ip: Its IP address.
        store_proxy: The proxy between the node and the store.
        process: Its latest process.
        incarnation: The number of that process, from 1.
        should_run: Whether the fleet restarts its process when it exits.
        is_ready: Whether the load balancer sends callers to it.
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
        """The base URL for calls to the node."""
        return f"http://{self.ip}:{CALLER_PORT}"


class Fleet:
    """The nodes, the targets and the store of a soak.

    Attributes:
        shape: Its size.
        nodes: Nodes by name.
        targets: All lives of targets started so far, in order.
        target_proxies: The proxy in front of each target, by target name.
        store: The store.
        observed: What callers and targets observe.
        is_stopping: Whether the fleet no longer restarts nodes.
    """

    def __init__(
        self, rng: random.Random, directory: pathlib.Path, shape: Shape
    ):
        self.shape = shape
        self._rng = rng
        self._directory = directory
        # Each run gets loopback addresses of its own.
        octets = (os.getpid() + time.time_ns()) & 0xFFFF
        self._ip_prefix = f"127.{16 + (octets >> 8) % 200}.{octets & 0xFF}"
        self.observed = observations.Observations(time.monotonic())
        self.store = store.Store(rng)
        self.nodes: dict[str, Node] = {}
        self.targets: list[targets.Target] = []
        self.target_proxies: dict[str, proxy.Proxy] = {}
        self.is_stopping = False
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task] = []
        self._last_target_number = 0
        self._life_numbers = itertools.count(1)
        self._listings = targets.Listings(self.store)

    async def start(self) -> None:
        """Starts the store, the targets and the nodes."""
        self._tasks.append(asyncio.create_task(self.store.run()))
        self._tasks.append(asyncio.create_task(self._listings.run()))
        zones = self.shape.zones
        await asyncio.gather(
            *(
                self.add_target(service, zones[number % len(zones)], False)
                for service, count in self.shape.target_counts.items()
                for number in range(count)
            )
        )
        for number in range(self.shape.node_count):
            await self._add_node(number)
        self._tasks.append(asyncio.create_task(self._restart_ended_nodes()))

    async def stop(self) -> None:
        """Stops everything that was started."""
        self.is_stopping = True
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        for member in self.targets:
            await member.crash()
        for each_proxy in [
            *self.target_proxies.values(),
            *(n.store_proxy for n in self._nodes()),
        ]:
            each_proxy.close()
        for runner in self._runners:
            await runner.cleanup()

    def read_records(self) -> None:
        """Takes over what all targets recorded, and checks who held keys."""
        lives_by_service = collections.defaultdict(list)
        for member in self.targets:
            record = member.life.record
            events = records.read(record)
            self.observed.add_events(events)
            lives_by_service[member.service.name].append(
                ownership_checks.Life(
                    member.name, record.stem, member.life.ended_at, events
                )
            )
        for service, lives in lives_by_service.items():
            if SERVICES[service].keyed:
                ownership_checks.OwnershipCheck(lives, self.observed).run()

    def peers(self, service: str) -> list[targets.Target]:
        """Returns all targets of a service that are up."""
        return [
            member
            for member in self.targets
            if member.is_up and member.service.name == service
        ]

    def stable_targets(self) -> list[targets.Target]:
        """Returns the targets that are up, and neither draining nor frozen."""
        return [
            t
            for t in self.targets
            if t.is_up and not t.is_draining and not t.is_frozen
        ]

    async def add_target(
        self, service: str, zone: str, is_cold: bool = True
    ) -> targets.Target:
        """Starts a target on its own IP address, behind a proxy.

        Args:
            service: The name of its service.
            zone: Its availability zone.
            is_cold: Whether it starts cold.
        """
        self._last_target_number += 1
        name = f"{service}-{self._last_target_number}"
        ip = f"{self._ip_prefix}.{TARGET_OCTET_BASE + self._last_target_number}"
        target_proxy = proxy.Proxy((ip, TARGET_PORT))
        await target_proxy.start(ip, PUBLIC_TARGET_PORT)
        self.target_proxies[name] = target_proxy
        self.observed.zones[name] = zone
        return await self._start_target(name, service, zone, ip, is_cold)

    async def restart_target(
        self, crashed: targets.Target, listing_delay: float
    ) -> targets.Target:
        """Starts a target again under its name, at its address.

        Args:
            crashed: The incarnation before.
            listing_delay: Time until it is listed, in seconds.
        """
        return await self._start_target(
            crashed.name,
            crashed.service.name,
            crashed.zone,
            crashed.address.partition(":")[0],
            is_cold=False,
            listing_delay=listing_delay,
        )

    async def _start_target(
        self,
        name: str,
        service: str,
        zone: str,
        ip: str,
        is_cold: bool,
        listing_delay: float = 0.0,
    ) -> targets.Target:
        record = self._directory / f"{name}-{next(self._life_numbers)}.record"
        spec = target_process.Spec(
            name,
            SERVICES[service],
            zone,
            f"{ip}:{PUBLIC_TARGET_PORT}",
            ip,
            TARGET_PORT,
            str(record),
            self._rng.randrange(1 << 32),
            is_cold,
            listing_delay,
        )
        new_target = targets.Target(spec, self._directory, self._listings)
        self.targets.append(new_target)
        await new_target.start()
        return new_target

    def spawn(self, node: Node, comment: str = "") -> None:
        """Starts a process for a node.

        Args:
            node: The node.
            comment: A comment for its settings file.

        Raises:
            RuntimeError: The node's previous process is still running.
        """
        if node.process is not None and node.process.poll() is None:
            raise RuntimeError(f"{node.name} is still running")
        node.incarnation += 1
        node.is_ready = False
        path = self._directory / f"{node.name}.toml"
        path.write_text(self._render_settings(node, comment))
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

    def send_signal(self, node: Node, signum: signal.Signals) -> None:
        """Sends a signal to a node's process if it is running."""
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(signum)

    def replace_settings(self, node: Node, comment: str) -> None:
        """Rewrites a node's settings file with another comment."""
        path = self._directory / f"{node.name}.toml"
        path.write_text(self._render_settings(node, comment))

    def leading_node(self) -> Node | None:
        """Returns the node that the store names as the leader, if any."""
        key = decoder.PREFIXES.fleet + leader.LEADER_KEY
        address = self.store.value(key).decode()
        ip = address.partition(":")[0]
        return next((n for n in self._nodes() if n.ip == ip), None)

    def _nodes(self) -> list[Node]:
        return list(self.nodes.values())

    def _render_settings(self, node: Node, comment: str) -> str:
        number = list(self.nodes).index(node.name)
        return SETTINGS_TEMPLATE.format(
            name=node.name,
            zone=node.zone,
            ip=node.ip,
            store=f"{self._ip_prefix}.{FIRST_STORE_PROXY_OCTET + number}"
            f":{STORE_PORT}",
            comment=comment,
        )

    async def _add_node(self, number: int) -> None:
        name = f"node-{number}"
        store_proxy_ip = f"{self._ip_prefix}.{FIRST_STORE_PROXY_OCTET + number}"
        runner = web.AppRunner(
            self.store.make_app(name), access_log=None, shutdown_timeout=0.0
        )
        await runner.setup()
        # The store listens behind the proxy, on the next port.
        await web.TCPSite(runner, store_proxy_ip, STORE_PORT + 1).start()
        self._runners.append(runner)
        store_proxy = proxy.Proxy((store_proxy_ip, STORE_PORT + 1))
        await store_proxy.start(store_proxy_ip, STORE_PORT)
        ip = f"{self._ip_prefix}.{FIRST_NODE_OCTET + number}"
        node = Node(
            name,
            self.shape.zones[number % len(self.shape.zones)],
            ip,
            store_proxy,
        )
        self.nodes[name] = node
        self.observed.node_names.add(name)
        self.spawn(node)

    async def _restart_ended_nodes(self) -> None:
        """Restarts nodes that exited unexpectedly, as the platform does."""
        while not self.is_stopping:
            await asyncio.sleep(RESTART_SECONDS / 5)
            for node in self._nodes():
                if not node.should_run or node.process.poll() is None:
                    continue
                now = time.monotonic()
                self.observed.add_finding(
                    observations.Rule.ENDED,
                    now,
                    f"{node.name} exited unexpectedly with status "
                    f"{node.process.returncode}",
                )
                self.spawn(node)
