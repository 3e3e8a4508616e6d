"""Prometheus metrics of a node."""

import collections
import collections.abc

import prometheus_client

from jujubeyard import codes
from jujubeyard.internal import labelled_metrics
from jujubeyard.ownership import evidence
from jujubeyard.routing import config
from jujubeyard.scheduling import tracking
from jujubeyard.store import eras

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

WORK_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 10.0)


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
        self._lacking_room = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_lacking_room",
                "Calls that found no room at targets, by service and priority.",
                ["service", "urgency"],
                registry=self.registry,
            )
        )
        self._queue_limit = labelled_metrics.LabelledMetric(
            prometheus_client.Gauge(
                "jujubeyard_queue_limit",
                "Calls that can wait at a target; not a number if unknown.",
                ["service"],
                registry=self.registry,
            )
        )
        self._refusing_targets = labelled_metrics.LabelledMetric(
            prometheus_client.Gauge(
                "jujubeyard_refusing_targets",
                "Targets that refuse calls although they have room.",
                ["service"],
                registry=self.registry,
            )
        )

        self._waiting = labelled_metrics.LabelledMetric(
            prometheus_client.Gauge(
                "jujubeyard_waiting_calls",
                "Calls that wait for room by service and priority.",
                ["service", "urgency"],
                registry=self.registry,
            )
        )
        self._wait_seconds = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_wait_seconds",
                "Time that calls waited for room by service and outcome.",
                ["service", "outcome"],
                buckets=LATENCY_BUCKETS_SECONDS,
                registry=self.registry,
            )
        )
        self._work_ratio = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_work_ratio",
                "Observed processing time of a call by the expected one.",
                ["service"],
                buckets=WORK_RATIO_BUCKETS,
                registry=self.registry,
            )
        )
        self._work_groups = prometheus_client.Gauge(
            "jujubeyard_work_groups",
            "Groups of similar calls whose work is kept.",
            registry=self.registry,
        )

        self._grants = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_grants",
                "Grants of keys that this node sent, by service and outcome.",
                ["service", "outcome"],
                registry=self.registry,
            )
        )
        self._grant_seconds = labelled_metrics.LabelledMetric(
            prometheus_client.Histogram(
                "jujubeyard_grant_seconds",
                "Time from sending a grant to its answer.",
                ["service"],
                buckets=LATENCY_BUCKETS_SECONDS,
                registry=self.registry,
            )
        )
        self._ended_holds = labelled_metrics.LabelledMetric(
            prometheus_client.Counter(
                "jujubeyard_ended_holds",
                "Holds of keys that ended, by service and evidence.",
                ["service", "evidence"],
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

    def count_lacking_room(self, service: str, urgency: int) -> None:
        """Counts a call that found no room at targets when it came.

        Args:
            service: Name of the service.
            urgency: Priority of the call's route; 0 is the most urgent.
        """
        self._lacking_room.child(service, str(urgency)).inc()

    def set_room(
        self, service: str, limit: float | None, refusing: int
    ) -> None:
        """Records what is known of the room at a service's targets.

        Args:
            service: Name of the service.
            limit: How many calls can wait at a target; None if it isn't known.
            refusing: Number of targets that refuse calls.
        """
        known_limit = float("nan") if limit is None else limit
        self._queue_limit.child(service).set(known_limit)
        self._refusing_targets.child(service).set(refusing)

    def add_waiting(self, service: str, urgency: int, count: int) -> None:
        """Changes the number of calls that wait for room.

        Args:
            service: Name of the service.
            urgency: Priority of the calls' route.
            count: Increase; negative if calls wait no longer.
        """
        self._waiting.child(service, str(urgency)).inc(count)

    def observe_wait(self, service: str, outcome: str, seconds: float) -> None:
        """Counts a call that waits no longer.

        Args:
            service: Name of the service.
            outcome: Why it waits no longer.
            seconds: How long it has waited.
        """
        self._wait_seconds.child(service, outcome).observe(seconds)

    def observe_work(
        self, service: str, sent: tracking.SentCall, groups: int
    ) -> None:
        """Records how well the work of an answered call was estimated.

        Args:
            service: Name of the service.
            sent: The call.
            groups: Number of groups of calls whose work is kept.
        """
        self._work_groups.set(groups)
        if sent.expected_processing:
            ratio = sent.processing / sent.expected_processing
            self._work_ratio.child(service).observe(ratio)

    def count_grant(
        self, service: str, outcome: str, answer_seconds: float | None
    ) -> None:
        """Counts a grant that has ended.

        Args:
            service: Name of the service.
            outcome: Its outcome.
            answer_seconds: Time until its answer; None if there was none.
        """
        self._grants.child(service, outcome).inc()
        if answer_seconds is not None:
            self._grant_seconds.child(service).observe(answer_seconds)

    def count_hold_end(self, service: str, proof: evidence.Evidence) -> None:
        """Counts a hold that has ended.

        Args:
            service: Name of the service.
            proof: What proves its end.
        """
        self._ended_holds.child(service, proof.value).inc()

    def watch_eras(self, era_tracker: eras.EraTracker) -> None:
        """Exposes the era of the store and how often it has gone back."""
        era = prometheus_client.Gauge(
            "jujubeyard_store_era",
            "Era of the store; 0 if the store doesn't tell it.",
            registry=self.registry,
        )
        era.set_function(lambda: era_tracker.current)
        changes = prometheus_client.Gauge(
            "jujubeyard_store_returns",
            "Times that the store came back from an older copy.",
            registry=self.registry,
        )
        changes.set_function(lambda: era_tracker.changes)

    def watch_unreadable(
        self,
        count: collections.abc.Callable[
            [], collections.Counter[config.EntryKind]
        ],
    ) -> None:
        """Adds a gauge of the configuration's unreadable entries.

        Args:
            count: Returns how many entries in force can't be read, by kind.
        """
        gauge = prometheus_client.Gauge(
            "jujubeyard_unreadable_entries",
            "Entries of the configuration in force that can't be read.",
            ["kind"],
            registry=self.registry,
        )
        for kind in config.EntryKind:
            gauge.labels(kind.value).set_function(
                lambda kind=kind: count()[kind]
            )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
