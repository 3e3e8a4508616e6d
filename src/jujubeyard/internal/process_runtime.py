"""What every process of the system has: identity, events, logs, admin port."""

import functools
import logging
import pathlib
import time

import prometheus_client

from jujubeyard import context
from jujubeyard import settings
from jujubeyard.events import kinds
from jujubeyard.events import timeline
from jujubeyard.link import faults
from jujubeyard.link import identity
from jujubeyard.link import traffic
from jujubeyard.output import logs

_LOGGED = frozenset(
    {
        kinds.EventKind.START,
        kinds.EventKind.STOP,
        kinds.EventKind.PLAN_WRITTEN,
        kinds.EventKind.CONFIG_INSTALLED,
        kinds.EventKind.TARGET_ACQUIRED,
        kinds.EventKind.TARGET_RELEASED,
        kinds.EventKind.TARGET_LOST,
        kinds.EventKind.TARGET_FOUND,
        kinds.EventKind.TARGET_COLD,
        kinds.EventKind.LEASE_GAINED,
        kinds.EventKind.LEASE_LOST,
        kinds.EventKind.TAKEOVER,
    }
)


def _count_traffic(registry: prometheus_client.CollectorRegistry) -> None:
    for name in ("sent", "received"):
        gauge = prometheus_client.Gauge(
            f"jujubeyard_link_{name}_bytes",
            f"Bytes of link frames {name}.",
            registry=registry,
        )
        gauge.set_function(functools.partial(getattr, traffic.total, name))


class ProcessRuntime:
    """The common parts of a process.

    Attributes:
        me: Who the process is.
        zone: Its availability zone.
        faults: Messages to lose, in tests.
        timeline: Its events.
        registry: Its metrics.
        logger: Its log.
    """

    def __init__(
        self,
        role: str,
        cfg: settings.ProcessSettings,
        env: context.Environment,
    ):
        incarnation = f"{time.time_ns() // 1000:016d}"
        self.identity = identity.Identity(
            cfg.cluster, role, cfg.vm, incarnation, cfg.secret.encode()
        )
        self.zone = cfg.zone
        self.faults = faults.LinkFaults()
        path = pathlib.Path(cfg.events_file) if cfg.events_file else None
        process = f"{role}:{cfg.vm}"
        self.timeline = timeline.Timeline(process, path)
        self.registry = prometheus_client.CollectorRegistry()
        _count_traffic(self.registry)
        self.logger: logging.Logger = logs.make_logger(process, env.stderr)

    def record(self, kind: kinds.EventKind, **fields) -> None:
        """Records an event, and logs it if it is a change of state."""
        self.timeline.add(kind, **fields)
        if kind in _LOGGED:
            self.logger.info(str(kind), extra=fields)
