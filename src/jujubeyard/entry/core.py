"""Starts and runs an entry process."""

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
    """Runs an entry until the stop event is set."""
    factory = entry.Entry
    await daemon.serve_role("entry", factory, cfg, env, stop)


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the entry program and returns its exit status."""
    return process.run_daemon(PROGRAM, settings.EntrySettings, serve, args, env)
