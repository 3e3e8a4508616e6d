"""Assigns work to controllers by rank, without an election.

Live controllers are ranked by name; those that cannot reach the store rank
behind all others. The first one plans, and the first few, the watchers, watch
the store. If two controllers both believe they are first, the only cost is a
failed compare-and-swap of the plan.
"""

from jujubeyard.link import messages

WATCHER_COUNT = 3
"""Number of controllers that watch the store and that gates report to."""


def rank_of(own: messages.Heartbeat, peers: list[messages.Heartbeat]) -> int:
    """Returns the rank of a controller; 0 is the first.

    Args:
        own: The heartbeat of the controller that is ranked.
        peers: Heartbeats of the other live controllers.
    """
    return sum(_rank_key(peer) < _rank_key(own) for peer in peers)


def find_watchers(
    own: messages.Heartbeat, peers: list[messages.Heartbeat]
) -> frozenset[str]:
    """Returns the names of the controllers that are watchers.

    Args:
        own: The heartbeat of this controller.
        peers: Heartbeats of the other live controllers.
    """
    ranked = sorted([own, *peers], key=_rank_key)
    return frozenset(heartbeat.witness for heartbeat in ranked[:WATCHER_COUNT])


def _rank_key(heartbeat: messages.Heartbeat) -> tuple[bool, str]:
    return (not heartbeat.store_ok, heartbeat.witness)
