"""Starts and runs a controller process."""

import asyncio

from jujubeyard import context
from jujubeyard import settings
from jujubeyard import status
from jujubeyard.controller import controller
from jujubeyard.internal import daemon
from jujubeyard.internal import process

PROGRAM = "jujubeyard-controller"


async def serve(
    cfg: settings.ControllerSettings,
    env: context.Environment,
    stop: asyncio.Event,
) -> None:
    """Runs a controller until the stop event is set."""
    factory = controller.Controller
    await daemon.serve_role("controller", factory, cfg, env, stop)


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the controller program and returns its exit status."""
    return process.run_daemon(
        PROGRAM, settings.ControllerSettings, serve, args, env
    )
