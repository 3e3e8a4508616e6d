"""Upstreams that hold keys crash and start again under their ids."""

import asyncio
import pathlib
import sys

from review.common import keyed
from review.common import world

RECORD = pathlib.Path(__file__).with_name("record.txt")
DOWN_SECONDS = 0.3
ENTRY_SECONDS = world.HEARTBEAT_SECONDS / 2
"""Time from the start of an upstream until it writes its entry."""

CRASHES = 3
PAUSE_SECONDS = 8.0


async def play(home: world.World) -> None:
    """Plays the case."""
    members = await keyed.start(home)
    for member in members[:CRASHES]:
        if world.has_trouble():
            await member.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await member.start(is_cold=True, entry_after=ENTRY_SECONDS)
        await asyncio.sleep(PAUSE_SECONDS)


if __name__ == "__main__":
    sys.exit(world.run(RECORD, play))
