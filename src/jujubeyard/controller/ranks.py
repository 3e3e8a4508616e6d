"""Divides work among controllers without an election.

Controllers rank by name among those that are alive, those without the store
behind all others. The first one plans and the first few watch the store. Two
that both believe to be first only cost a lost compare-and-swap.
"""

from jujubeyard.link import messages

WATCHERS = 3
"""Controllers of a cell that watch the store and that gates report to."""


def rank_of(me: messages.Heartbeat, peers: list[messages.Heartbeat]) -> int:
    """Returns the rank of a controller.

    Args:
        me: Its own heartbeat.
        peers: Heartbeats of the others that are alive.
    """
    return sum(_key(peer) < _key(me) for peer in peers)


def find_watchers(
    me: messages.Heartbeat, peers: list[messages.Heartbeat]
) -> frozenset[str]:
    """Returns the names of the first controllers.

    Args:
        me: Its own heartbeat.
        peers: Heartbeats of the others that are alive.
    """
    ranked = sorted([me, *peers], key=_key)
    return frozenset(beat.witness for beat in ranked[:WATCHERS])


def _key(beat: messages.Heartbeat) -> tuple[bool, str]:
    return (not beat.store_ok, beat.witness)
