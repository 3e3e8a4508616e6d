"""Decides which controllers get a heartbeat, and how often."""

import dataclasses

from jujubeyard.controller import ranks
from jujubeyard.link import link
from jujubeyard.link import messages

BEAT_SECONDS = 0.3
"""Between heartbeats to and from the first controllers."""

RARE_ROUNDS = 4
"""Rounds between heartbeats of two controllers that are none of the first."""


class Beater:
    """Sends heartbeats.

    All controllers hear the first ones, and are heard by them, in each round.
    The others only have to know each other's rank, and beat rarely.
    """

    def __init__(self):
        self._round = 0
        self._often: frozenset[str] = frozenset()
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether a round is due, and if so counts it."""
        if now < self._next_at:
            return False
        self._next_at = now + BEAT_SECONDS
        self._round += 1
        return True

    def send(
        self,
        beat: messages.Heartbeat,
        live: list[messages.Heartbeat],
        links: list[link.Link],
    ) -> None:
        """Sends the heartbeats of a round.

        Args:
            beat: The own heartbeat.
            live: Heartbeats of other controllers that are alive.
            links: Open links to other controllers.
        """
        first = ranks.find_watchers(beat, live)
        names = frozenset(peer.peer_name for peer in links)
        often = names if beat.witness in first else names & first
        rare = dataclasses.replace(beat, interval=RARE_ROUNDS * BEAT_SECONDS)
        for peer in links:
            if peer.peer_name in often:
                peer.send(beat)
            elif self._is_rare_due(peer.peer_name):
                peer.send(rare)
        self._often = often

    def _is_rare_due(self, name: str) -> bool:
        """A peer is told at once that it will hear less often."""
        return name in self._often or self._round % RARE_ROUNDS == 0
