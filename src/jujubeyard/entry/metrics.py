"""Prometheus metrics of an entry."""

import datetime

import prometheus_client

from jujubeyard.entry import requests
from jujubeyard.internal import labelled_metrics

CALL_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
MAX_MEMBERS = 10_000
OTHER_MEMBERS = "(others)"


class EntryMetrics:
    """Counters, gauges and histograms of an entry."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self._billed_members: set[str] = set()
        self.month = ""
        self.update_month()
        self.calls = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_calls",
                "Calls answered, by result code.",
                ["service", "kind", "code"],
                registry=registry,
            )
        )
        self.refused_requests = prometheus_client.Counter(
            "jujubeyard_refused_requests",
            "Requests refused before routing, by result code.",
            ["code"],
            registry=registry,
        )
        self.call_seconds = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_call_seconds",
                "Time from a request to its answer.",
                ["service", "kind"],
                buckets=CALL_BUCKETS,
                registry=registry,
            )
        )
        self._usage = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_usage",
                "Calls that ran or may have run, by member and month.",
                ["service", "kind", "member", "month"],
                registry=registry,
            )
        )
        self._weighted_usage = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_weighted_usage",
                "Weight of calls that ran or may have run.",
                ["service", "kind", "member", "month"],
                registry=registry,
            )
        )
        self.open_calls = prometheus_client.Gauge(
            "jujubeyard_open_calls",
            "Calls that are not answered yet.",
            registry=registry,
        )

    def count_usage(self, parsed: requests.ParsedRequest) -> None:
        """Counts a call toward its member's billed usage.

        Members beyond the first MAX_MEMBERS share one label value, which
        bounds the number of time series.
        """
        member = parsed.member
        if member not in self._billed_members:
            if len(self._billed_members) >= MAX_MEMBERS:
                member = OTHER_MEMBERS
            self._billed_members.add(member)
        names = (parsed.service.name, parsed.kind.name, member, self.month)
        self._usage.child(*names).inc()
        self._weighted_usage.child(*names).inc(parsed.kind.weight)

    def update_month(self) -> None:
        """Sets the month label of usage metrics to the current UTC month."""
        self.month = datetime.datetime.now(datetime.UTC).strftime("%Y-%m")
