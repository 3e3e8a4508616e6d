"""Prometheus metrics of a controller."""

import prometheus_client


class ControllerMetrics:
    """Counters and gauges of a controller."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.plan_version = prometheus_client.Gauge(
            "jujubeyard_plan_version",
            "Version of the installed plan.",
            registry=registry,
        )
        self.config_version = prometheus_client.Gauge(
            "jujubeyard_config_version",
            "Version of the installed configuration.",
            registry=registry,
        )
        self.live_gates = prometheus_client.Gauge(
            "jujubeyard_live_gates",
            "Gates that are alive.",
            registry=registry,
        )
        self.holders = prometheus_client.Gauge(
            "jujubeyard_witness_holders",
            "Holders in the witness's bounded table.",
            registry=registry,
        )
        self.store_ok = prometheus_client.Gauge(
            "jujubeyard_store_ok",
            "Whether the latest call to the store was answered.",
            registry=registry,
        )
        self.plan_writes = prometheus_client.Counter(
            "jujubeyard_plan_writes",
            "Attempts to write a plan, by outcome.",
            ["outcome"],
            registry=registry,
        )
