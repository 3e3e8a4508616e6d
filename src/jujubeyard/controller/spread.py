"""Installs plans and configurations, and sends them on."""

from jujubeyard import clock
from jujubeyard.controller import config_store
from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool

SPREAD_SECONDS = 0.5
"""How long something new is on its way before those that lack it are sent it
again."""


class Spreader:
    """Sends new plans and configurations to controllers and subscribers.

    Who read one from the store, or wrote it, sends it to all controllers; each
    controller sends it to its subscribers.

    Attributes:
        known: The newest versions.
    """

    def __init__(
        self, owner: process_runtime.ProcessRuntime, peers: pool.LinkPool
    ):
        self.known = config_store.Known()
        self._runtime = owner
        self._peers = peers
        self._subscribers: set[link.Link] = set()
        self._installed_at = clock.boottime()
        self._told_members = messages.Members([])

    def subscribe(self, peer: link.Link, request: messages.Subscribe) -> None:
        """Adds a subscriber and sends it what it lacks."""
        self._subscribers.add(peer)
        peer.send(self._told_members)
        self._send_missing(peer, request.plan_version, request.config_version)

    def send_overdue(
        self, peer: link.Link, plan_version: int, config_version: int
    ) -> None:
        """Sends a peer what it lacks and should have got by now."""
        if clock.boottime() - self._installed_at >= SPREAD_SECONDS:
            self._send_missing(peer, plan_version, config_version)

    def tell_members(self, members: messages.Members) -> None:
        """Tells subscribers which controllers are alive, if that changed."""
        if members == self._told_members:
            return
        self._told_members = members
        for peer in self._subscribers:
            peer.send(members)

    def install_plan(self, body: bytes, from_store: bool) -> None:
        """Installs a plan, unless it is older, and sends it on."""
        if not self.known.install_plan(body):
            return
        self._runtime.record(
            kinds.EventKind.PLAN_INSTALLED, version=self.known.plan.version
        )
        self._spread(self._plan_push(), from_store)

    def install_config(self, body: bytes, from_store: bool) -> bool:
        """Installs a configuration and sends it on.

        Returns:
            Whether it was installed; not if it is older.
        """
        if not self.known.install_config(body):
            return False
        self._runtime.record(
            kinds.EventKind.CONFIG_INSTALLED,
            version=self.known.config_version,
        )
        self._spread(self._config_push(), from_store)
        return True

    def _spread(self, message: messages.Message, from_store: bool) -> None:
        self._installed_at = clock.boottime()
        self._subscribers = {
            peer for peer in self._subscribers if not peer.closed.is_set()
        }
        for peer in self._subscribers:
            peer.send(message)
        if from_store:
            for peer in self._peers.links.values():
                peer.send(message)

    def _send_missing(self, peer, plan_version, config_version) -> None:
        if plan_version < self.known.plan.version:
            peer.send(self._plan_push())
        if config_version < self.known.config_version:
            peer.send(self._config_push())

    def _plan_push(self) -> messages.PlanPush:
        return messages.PlanPush(self.known.plan.version, self.known.plan_body)

    def _config_push(self) -> messages.ConfigPush:
        return messages.ConfigPush(
            self.known.config_version, self.known.config_body
        )
