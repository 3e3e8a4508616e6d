"""Runs one role of the system as a process."""

import asyncio
import collections.abc
import typing

from jujubeyard import context
from jujubeyard import settings
from jujubeyard.events import kinds
from jujubeyard.internal import admin
from jujubeyard.internal import process_runtime


class Served(typing.Protocol):
    """An entry, a gate or a controller."""

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the event is set."""

    def read_status(self) -> dict:
        """Returns what the admin port shows."""


Maker = collections.abc.Callable[
    [settings.ProcessSettings, process_runtime.ProcessRuntime], Served
]


async def serve_role(
    role: str,
    make: Maker,
    cfg: settings.ProcessSettings,
    env: context.Environment,
    stop: asyncio.Event,
) -> None:
    """Serves a role and its admin port until the event is set.

    Args:
        role: entry, gate or controller.
        make: Makes what is served.
        cfg: Its settings.
        env: Streams and places.
        stop: Ends it.
    """
    owner = process_runtime.ProcessRuntime(role, cfg, env)
    served = make(cfg, owner)
    port = admin.AdminServer(owner, served.read_status, cfg.allow_faults)
    await port.start(cfg.admin)
    owner.record(kinds.EventKind.START, incarnation=owner.identity.incarnation)
    await served.run(stop)
    owner.record(kinds.EventKind.STOP)
    await port.stop()
