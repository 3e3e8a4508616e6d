"""Schedules and sends heartbeats between controllers."""

import dataclasses

from jujubeyard.controller import ranks
from jujubeyard.link import link
from jujubeyard.link import messages

HEARTBEAT_SECONDS = 0.3
"""Interval of heartbeats sent to and by the watchers."""

INFREQUENT_ROUNDS = 4
"""Rounds between heartbeats of two controllers that are not watchers."""


class HeartbeatSender:
    """Sends heartbeats to the other controllers.

    Heartbeats to and from the watchers, the highest-ranked controllers, are
    sent in each round. The other controllers only need each other's rank, so
    heartbeats between them are sent less often.
    """

    def __init__(self):
        self._round = 0
        self._frequent_peers: frozenset[str] = frozenset()
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether a round is due, and starts it if so."""
        if now < self._next_at:
            return False
        self._next_at = now + HEARTBEAT_SECONDS
        self._round += 1
        return True

    def send(
        self,
        heartbeat: messages.Heartbeat,
        live_heartbeats: list[messages.Heartbeat],
        links: list[link.Link],
    ) -> None:
        """Sends the heartbeats of a round.

        Args:
            heartbeat: This controller's heartbeat.
            live_heartbeats: Heartbeats of other controllers that are alive.
            links: Open links to other controllers.
        """
        watchers = ranks.find_watchers(heartbeat, live_heartbeats)
        names = frozenset(peer.peer_name for peer in links)
        frequent_peers = (
            names if heartbeat.witness in watchers else names & watchers
        )
        infrequent_heartbeat = dataclasses.replace(
            heartbeat, interval=INFREQUENT_ROUNDS * HEARTBEAT_SECONDS
        )
        for peer in links:
            if peer.peer_name in frequent_peers:
                peer.send(heartbeat)
            elif self._is_infrequent_due(peer.peer_name):
                peer.send(infrequent_heartbeat)
        self._frequent_peers = frequent_peers

    def _is_infrequent_due(self, name: str) -> bool:
        """Returns whether a peer gets an infrequent heartbeat in this round.

        A peer whose interval grows gets one at once, as it must know the new
        interval before the old one expires.
        """
        return (
            name in self._frequent_peers or self._round % INFREQUENT_ROUNDS == 0
        )
