"""Tracks the work of a node's calls from their choice to their answer."""

import dataclasses

from jujubeyard.scheduling import backlog
from jujubeyard.scheduling import balancing
from jujubeyard.scheduling import finish
from jujubeyard.scheduling import work
from jujubeyard.targets import registry


@dataclasses.dataclass(slots=True)
class SentCall:
    """An attempt at a call.

    Attributes:
        traits: The call.
        pending: Its part of the target's backlog.
        expected: What was expected of it; None if too little was known.
        processing: Processing time that was observed, at the usual speed of
            the target, in seconds; 0.0 until the answer.
    """

    traits: work.CallTraits
    pending: backlog.PendingCall
    expected: finish.ExpectedTimes | None
    processing: float = 0.0

    @property
    def expected_processing(self) -> float:
        """Expected processing time, in seconds; 0.0 if it is unknown."""
        return self.expected.processing if self.expected else 0.0


class WorkTracker:
    """Estimates the work of calls, and learns from their answers."""

    def __init__(self):
        self.model = work.WorkModel()

    def estimate(
        self, traits: work.CallTraits, node_count: int
    ) -> balancing.CallWork | None:
        """Returns the work of a call; None while too little is known.

        Args:
            traits: The call.
            node_count: Number of nodes that choose targets.
        """
        estimate = self.model.estimate(traits)
        if estimate is None:
            return None
        return balancing.CallWork(self.model, estimate, node_count)

    def begin(
        self,
        traits: work.CallTraits,
        target: registry.Target,
        node_count: int,
        now: float,
    ) -> SentCall:
        """Adds a call that is being sent to a target to its backlog.

        Args:
            traits: The call.
            target: The target.
            node_count: Number of nodes that choose targets.
            now: Monotonic time, in seconds.
        """
        call_work = self.estimate(traits, node_count)
        if call_work is None:
            seconds = target.load.work_seconds()
            pending = target.load.pending.begin(seconds, 0.0, now)
            return SentCall(traits, pending, None)
        expected = call_work.expect_times(target, now)
        pending = target.load.pending.begin(
            expected.processing, expected.wait, now
        )
        return SentCall(traits, pending, expected)

    def end(self, sent: SentCall, target: registry.Target) -> None:
        """Removes a call that has ended in any way from a target's backlog."""
        target.load.pending.end(sent.pending)

    def observe(
        self,
        sent: SentCall,
        target: registry.Target,
        duration: float,
        now: float,
    ) -> None:
        """Learns from a call that succeeded.

        Args:
            sent: The call; its observed processing time is set.
            target: The target that served it.
            duration: Time from sending it to its answer, in seconds.
            now: Monotonic time, in seconds.
        """
        seconds, weight = finish.split_wait(
            target.load, sent.expected, duration, now
        )
        sent.processing = seconds
        self.model.observe(sent.traits, target.load.speed, seconds, weight)
