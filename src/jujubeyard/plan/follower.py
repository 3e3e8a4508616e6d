"""Installs the plans and configurations that controllers push."""

import asyncio
import collections.abc

from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import codec
from jujubeyard.plan import tables
from jujubeyard.store import records

MAX_SUBSCRIPTIONS = 3
"""Number of controllers that a follower subscribes to."""


class Follower:
    """Keeps the latest plan and configuration of a gate or an entry.

    A plan or configuration is installed only if its version is higher than
    that of the installed one.

    Attributes:
        plan: The installed plan; None until the first one arrives.
        config: The installed configuration; None until the first one arrives.
        pool: Links to controllers.
        changed: An event that is set at the next installation; each
            installation replaces it by a new event.
    """

    def __init__(
        self,
        runtime: process_runtime.ProcessRuntime,
        seeds: list[str],
        max_controllers: int,
        on_install: collections.abc.Callable[[], None],
        on_other_message: link.Handler,
    ):
        self.plan: tables.Plan | None = None
        self.config: config_tables.Config | None = None
        self.changed = asyncio.Event()
        self.pool = pool.LinkPool(
            runtime.identity, self._handle, runtime.faults
        )
        self._runtime = runtime
        self._seeds = seeds
        self._max_controllers = max_controllers
        self._on_install = on_install
        self._on_other_message = on_other_message
        self._subscribed_links: dict[str, link.Link] = {}
        self._controller_addresses: list[str] = []

    @property
    def plan_version(self) -> int:
        """Version of the installed plan; 0 if there is none."""
        return self.plan.version if self.plan else 0

    @property
    def config_version(self) -> int:
        """Version of the installed configuration; 0 if there is none."""
        return self.config.version if self.config else 0

    def maintain_links(self, _: float) -> None:
        """Connects to controllers and subscribes on new links."""
        addresses = list(
            dict.fromkeys(self._seeds + self._controller_addresses)
        )
        self.pool.set_peers(set(addresses[: self._max_controllers]))
        connected = [a for a in addresses if self.pool.get(a) is not None]
        for address in connected[:MAX_SUBSCRIPTIONS]:
            peer = self.pool.get(address)
            if self._subscribed_links.get(address) is not peer:
                self._subscribed_links[address] = peer
                peer.send(
                    messages.Subscribe(self.plan_version, self.config_version)
                )

    def resubscribe(self) -> None:
        """Subscribes again at the next call of maintain_links.

        Controllers answer a subscription with any newer plan and configuration.
        """
        self._subscribed_links.clear()

    def _handle(self, peer: link.Link, message: messages.Message) -> None:
        if isinstance(message, messages.PlanPush):
            self._install_plan(message)
        elif isinstance(message, messages.ConfigPush):
            self._install_config(message)
        elif isinstance(message, messages.Members):
            self._controller_addresses = sorted(
                str(row[2]) for row in message.controllers
            )
        else:
            self._on_other_message(peer, message)

    def _install_plan(self, push: messages.PlanPush) -> None:
        if push.version <= self.plan_version:
            return
        self.plan = codec.decode_plan(push.body)
        self._runtime.record(
            kinds.EventKind.PLAN_INSTALLED, version=self.plan.version
        )
        self._notify_installed()

    def _install_config(self, push: messages.ConfigPush) -> None:
        if push.version <= self.config_version:
            return
        record = records.decode_config(push.body)
        self.config = config_tables.build_config(record)
        self._runtime.record(
            kinds.EventKind.CONFIG_INSTALLED, version=record.version
        )
        self._notify_installed()

    def _notify_installed(self) -> None:
        if self.plan is not None and self.config is not None:
            self._on_install()
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()
