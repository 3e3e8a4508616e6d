"""Prometheus metrics that cache their children by label values."""

import prometheus_client.metrics


class LabelledMetric:
    """Caches the children of a labelled metric by their label values."""

    def __init__(self, metric: prometheus_client.metrics.MetricWrapperBase):
        self._metric = metric
        self._children: dict[tuple, object] = {}

    def child(self, *values):
        """Returns the child with these label values."""
        child = self._children.get(values)
        if child is None:
            child = self._metric.labels(*values)
            self._children[values] = child
        return child
