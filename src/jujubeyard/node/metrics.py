"""Prometheus metrics of a node."""

import collections.abc

import prometheus_client

from jujubeyard import codes
from jujubeyard.internal import labelled_metrics

LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    4.0,
)


class Metrics:
    """The metrics of a node process.

    Attributes:
        registry: Registry that holds all of the metrics.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._calls = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_calls",
                "Calls by service and result code.",
                ["service", "code"],
                registry=self.registry,
            )
        )
        self._call_seconds = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_call_seconds",
                "Time from reading a call to its answer.",
                ["service"],
                buckets=LATENCY_BUCKETS_SECONDS,
                registry=self.registry,
            )
        )
        self._attempts = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_attempts",
                "Calls sent to targets by service and outcome.",
                ["service", "outcome"],
                registry=self.registry,
            )
        )

        self._held_bytes = prometheus_client.Gauge(
            "jujubeyard_held_bytes",
            "Memory held for callers and targets.",
            registry=self.registry,
        )
        self._memory_refusals = prometheus_client.Counter(
            "jujubeyard_memory_refusals",
            "Calls refused for want of memory.",
            registry=self.registry,
        )

    def count_call(
        self, service: str, code: codes.ResultCode, seconds: float
    ) -> None:
        """Counts an answered call and records its latency.

        Args:
            service: Name of the service.
            code: Result code of the reply.
            seconds: Time from reading the call to its reply, in seconds.
        """
        self._calls.child(service, code.name).inc()
        self._call_seconds.child(service).observe(seconds)

    def watch_memory(
        self, held_bytes: collections.abc.Callable[[], int]
    ) -> None:
        """Exposes how much memory is held for peers.

        Args:
            held_bytes: Returns its size.
        """
        self._held_bytes.set_function(held_bytes)

    def count_memory_refusal(self) -> None:
        """Counts a call that was refused for want of memory."""
        self._memory_refusals.inc()

    def count_attempt(self, service: str, outcome: str) -> None:
        """Counts an attempt to send a call to a target.

        Args:
            service: Name of the service.
            outcome: Value of the attempt's SendOutcome.
        """
        self._attempts.child(service, outcome).inc()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
