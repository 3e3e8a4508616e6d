"""Prometheus metrics of a gate."""

import prometheus_client

from jujubeyard.internal import labelled_metrics

CALL_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class GateMetrics:
    """Counters, histograms and gauges of one gate."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.calls = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_gate_calls",
                "Calls answered, by service and result code.",
                ["service", "code"],
                registry=registry,
            )
        )
        self.seconds = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_target_seconds",
                "Time of calls at targets.",
                ["service"],
                buckets=CALL_BUCKETS,
                registry=registry,
            )
        )
        self.held = prometheus_client.Gauge(
            "jujubeyard_held_targets",
            "Targets by state.",
            ["state"],
            registry=registry,
        )
        self.queued = prometheus_client.Gauge(
            "jujubeyard_queued_calls",
            "Calls in bounded queues.",
            ["queue"],
            registry=registry,
        )
        self.ids = prometheus_client.Gauge(
            "jujubeyard_remembered_ids",
            "Request ids in the bounded table.",
            registry=registry,
        )
        self.lease = prometheus_client.Gauge(
            "jujubeyard_lease_seconds",
            "Time until the lease lapses.",
            registry=registry,
        )
        self.hedges = prometheus_client.Counter(
            "jujubeyard_hedged_calls",
            "Calls sent to a second target.",
            ["service"],
            registry=registry,
        )
