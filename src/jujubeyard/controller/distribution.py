"""Installs plans and configurations, and distributes them."""

from jujubeyard import clock
from jujubeyard.controller import config_store
from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool

RESEND_DELAY_SECONDS = 0.5
"""How long a new version may be in transit; after that, it is sent again to
peers that still report an older one."""


class Distributor:
    """Sends new plans and configurations to controllers and subscribers.

    The controller that reads a version from the store, or writes it, sends it
    to all controllers. Each controller sends it to its subscribers.

    Attributes:
        installed: The newest configuration and plan.
    """

    def __init__(
        self, runtime: process_runtime.ProcessRuntime, peers: pool.LinkPool
    ):
        self.installed = config_store.InstalledVersions()
        self._runtime = runtime
        self._peers = peers
        self._subscribers: set[link.Link] = set()
        self._installed_at = clock.boottime()
        self._published_members = messages.Members([])

    def subscribe(self, peer: link.Link, request: messages.Subscribe) -> None:
        """Adds a subscriber and sends it the newer versions, if any."""
        self._subscribers.add(peer)
        peer.send(self._published_members)
        self._send_missing(peer, request.plan_version, request.config_version)

    def resend_if_overdue(
        self, peer: link.Link, plan_version: int, config_version: int
    ) -> None:
        """Sends a peer newer versions that should have reached it by now."""
        if clock.boottime() - self._installed_at >= RESEND_DELAY_SECONDS:
            self._send_missing(peer, plan_version, config_version)

    def publish_members(self, members: messages.Members) -> None:
        """Sends subscribers the live controllers if these have changed."""
        if members == self._published_members:
            return
        self._published_members = members
        for peer in self._subscribers:
            peer.send(members)

    def install_plan(self, body: bytes, from_store: bool) -> None:
        """Installs and distributes a plan if it is newer.

        Args:
            body: The plan in its stored encoding.
            from_store: Whether this controller read it from the store or
                wrote it; if so, it is also sent to all controllers.
        """
        if not self.installed.install_plan(body):
            return
        self._runtime.record(
            kinds.EventKind.PLAN_INSTALLED, version=self.installed.plan.version
        )
        self._broadcast(self._plan_push(), from_store)

    def install_config(self, body: bytes, from_store: bool) -> bool:
        """Installs and distributes a configuration if it is newer.

        Args:
            body: The configuration in its stored encoding.
            from_store: Whether this controller read it from the store; if
                so, it is also sent to all controllers.

        Returns:
            Whether it was installed.
        """
        if not self.installed.install_config(body):
            return False
        self._runtime.record(
            kinds.EventKind.CONFIG_INSTALLED,
            version=self.installed.config_version,
        )
        self._broadcast(self._config_push(), from_store)
        return True

    def _broadcast(self, message: messages.Message, from_store: bool) -> None:
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
        if plan_version < self.installed.plan.version:
            peer.send(self._plan_push())
        if config_version < self.installed.config_version:
            peer.send(self._config_push())

    def _plan_push(self) -> messages.PlanPush:
        return messages.PlanPush(
            self.installed.plan.version, self.installed.plan_body
        )

    def _config_push(self) -> messages.ConfigPush:
        return messages.ConfigPush(
            self.installed.config_version, self.installed.config_body
        )
