"""Prometheus metrics that cache their children by label values."""

import prometheus_client.metrics


class LabelledMetric:
    """A labelled metric that looks up each of its children only once."""

    def __init__(self, metric: prometheus_client.metrics.MetricWrapperBase):
        self._metric = metric
        self._children: dict[tuple, object] = {}

    def child(self, *label_values):
        """Returns the child for the label values, creating it if needed."""
        child = self._children.get(label_values)
        if child is None:
            child = self._metric.labels(*label_values)
            self._children[label_values] = child
        return child
