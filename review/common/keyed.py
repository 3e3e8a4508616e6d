"""A small deployment with one service whose upstreams hold keys."""

import asyncio
import random

from platform_standins import documents
from review.common import clients
from review.common import upstreams
from review.common import world

NODES = 3
UPSTREAMS = 8
CLIENTS = 12
MEAN_PAUSE_SECONDS = 0.3
CALM_SECONDS = 5.0
DESK = documents.Service("desk", True, 6, 0.1)
ROUTES = (documents.Route("read", "desk", True),)


async def start(home: world.World) -> list[upstreams.Upstream]:
    """Starts the deployment, its clients and the check of the owners.

    Args:
        home: The world of the case.

    Returns:
        The upstreams, after some calm seconds with traffic.
    """
    rng = random.Random(1)
    members = [
        upstreams.Upstream(home, f"i-{number}", DESK, number)
        for number in range(UPSTREAMS)
    ]
    await home.start(NODES, [DESK], ROUTES)
    for member in members:
        await member.start(is_cold=False)
    await home.wait_until_ready()
    await upstreams.wait_until_held(members)
    home.record("all keys are held")
    home.spawn(upstreams.check_owners(home, members))
    for _ in range(CLIENTS):
        home.spawn(clients.read_keys(home, rng, "/read/1", MEAN_PAUSE_SECONDS))
    await asyncio.sleep(CALM_SECONDS)
    return members
