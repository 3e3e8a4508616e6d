"""Counters whose labelled children are looked up once."""

import prometheus_client.metrics


class LabelledMetric:
    """Keeps the children of a labelled metric by their label values."""

    def __init__(self, metric: prometheus_client.metrics.MetricWrapperBase):
        self._metric = metric
        self._children: dict[tuple, object] = {}

    def child(self, *values):
        """Returns the child with these label values."""
        found = self._children.get(values)
        if found is None:
            found = self._metric.labels(*values)
            self._children[values] = found
        return found
