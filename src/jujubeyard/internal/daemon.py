"""Runs an entry, a gate or a controller as a process."""

import asyncio
import collections.abc
import typing

from jujubeyard import context
from jujubeyard import settings
from jujubeyard.events import kinds
from jujubeyard.internal import admin
from jujubeyard.internal import process_runtime


class Role(typing.Protocol):
    """Interface of an entry, a gate or a controller."""

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set."""

    def read_status(self) -> dict:
        """Returns the fields that the role adds to the status document."""


RoleFactory = collections.abc.Callable[
    [settings.ProcessSettings, process_runtime.ProcessRuntime], Role
]


async def serve_role(
    role: str,
    make_role: RoleFactory,
    cfg: settings.ProcessSettings,
    env: context.Environment,
    stop: asyncio.Event,
) -> None:
    """Serves a role and its admin endpoints until `stop` is set.

    Args:
        role: Name of the role: entry, gate or controller.
        make_role: Creates the role from its settings and its runtime.
        cfg: Settings of the process.
        env: Output streams and base directory for relative paths.
        stop: Event that ends the process when it is set.
    """
    runtime = process_runtime.ProcessRuntime(role, cfg, env)
    server = make_role(cfg, runtime)
    admin_server = admin.AdminServer(
        runtime, server.read_status, cfg.allow_faults
    )
    await admin_server.start(cfg.admin)
    runtime.record(
        kinds.EventKind.START, incarnation=runtime.identity.incarnation
    )
    await server.run(stop)
    runtime.record(kinds.EventKind.STOP)
    await admin_server.stop()
