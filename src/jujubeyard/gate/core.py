"""Entry points of the gate process."""

import asyncio

from jujubeyard import context
from jujubeyard import settings
from jujubeyard import status
from jujubeyard.gate import gate
from jujubeyard.internal import daemon
from jujubeyard.internal import process

PROGRAM = "jujubeyard-gate"


async def serve(
    cfg: settings.GateSettings,
    env: context.Environment,
    stop: asyncio.Event,
) -> None:
    """Runs a gate until the stop event is set."""
    make_gate = gate.Gate
    await daemon.serve_role("gate", make_gate, cfg, env, stop)


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the gate program and returns its exit status."""
    return process.run_daemon(PROGRAM, settings.GateSettings, serve, args, env)
