"""Runtime of an entry, gate or controller: identity, events, metrics, log."""

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

_LOGGED_KINDS = frozenset(
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


def _register_traffic_gauges(
    registry: prometheus_client.CollectorRegistry,
) -> None:
    for direction in ("sent", "received"):
        gauge = prometheus_client.Gauge(
            f"jujubeyard_link_{direction}_bytes",
            f"Bytes of link frames {direction}.",
            registry=registry,
        )
        gauge.set_function(functools.partial(getattr, traffic.total, direction))


class ProcessRuntime:
    """Identity, events, metrics and log of one process.

    Attributes:
        identity: Identity that the process presents to its peers.
        zone: Availability zone of the process.
        faults: Link messages to drop, for fault injection in tests.
        timeline: Events that the process has recorded.
        registry: Prometheus registry of the process.
        logger: Logger of the process.
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
        events_path = pathlib.Path(cfg.events_file) if cfg.events_file else None
        process = f"{role}:{cfg.vm}"
        self.timeline = timeline.Timeline(process, events_path)
        self.registry = prometheus_client.CollectorRegistry()
        _register_traffic_gauges(self.registry)
        self.logger: logging.Logger = logs.make_logger(process, env.stderr)

    def record(self, kind: kinds.EventKind, **fields) -> None:
        """Records an event, and logs it if its kind is a change of state.

        Args:
            kind: Kind of the event.
            **fields: Fields of the event, which are also log fields.
        """
        self.timeline.add(kind, **fields)
        if kind in _LOGGED_KINDS:
            self.logger.info(str(kind), extra=fields)
