"""Starts a gate."""

import asyncio

from jujubeyard import context
from jujubeyard import settings
from jujubeyard import status
from jujubeyard.events import kinds
from jujubeyard.gate import gate
from jujubeyard.internal import admin
from jujubeyard.internal import node
from jujubeyard.internal import process

PROGRAM = "jujubeyard-gate"


async def serve(
    cfg: settings.GateSettings, env: context.Environment, stop: asyncio.Event
) -> None:
    """Serves until the event is set."""
    owner = node.Node("gate", cfg, env)
    served = gate.Gate(cfg, owner)
    port = admin.AdminServer(owner, served.read_status, cfg.allow_faults)
    await port.start(cfg.admin)
    owner.record(kinds.EventKind.START, incarnation=owner.me.incarnation)
    await served.run(stop)
    owner.record(kinds.EventKind.STOP)
    await port.stop()


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the program."""
    return process.run_daemon(PROGRAM, settings.GateSettings, serve, args, env)
