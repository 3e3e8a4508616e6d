"""Starts an entry."""

import asyncio

from jujubeyard import context
from jujubeyard import settings
from jujubeyard import status
from jujubeyard.entry import entry
from jujubeyard.internal import daemon
from jujubeyard.internal import process

PROGRAM = "jujubeyard-entry"


async def serve(
    cfg: settings.EntrySettings,
    env: context.Environment,
    stop: asyncio.Event,
) -> None:
    """Serves until the event is set."""
    make = entry.Entry
    await daemon.serve_role("entry", make, cfg, env, stop)


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the program."""
    return process.run_daemon(PROGRAM, settings.EntrySettings, serve, args, env)
