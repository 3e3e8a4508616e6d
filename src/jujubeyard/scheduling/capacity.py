"""What a node has learned of the room at one target."""

import dataclasses
import enum

from jujubeyard.scheduling import pacing
from jujubeyard.scheduling import queue_limits
from jujubeyard.scheduling import refusals
from jujubeyard.scheduling import thinning

CONFIRM_SECONDS = 2.0
"""Time after a reset within which an answer shows that the target is alive, and
was full."""


RESET_WAITING_PER_SLOT = 2
"""Shortest queue, in calls for each slot, with which a reset shows that a
target is full. Connections are reset for other reasons, too."""

MAX_WAITING_PER_SLOT = 100
"""Longest plausible queue, in calls for each slot."""

RECENT_SECONDS = 3.0
"""Age up to which a reported queue counts among those of other targets."""


class RefusalCause(enum.Enum):
    """Why a target refused a call."""

    FULL = "full"
    """Its queue is full."""

    SHEDDING = "shedding"
    """It refuses calls although it has room."""


@dataclasses.dataclass(slots=True)
class Capacity:
    """What a node has learned of the room at one target.

    Attributes:
        target_id: The target.
        limit: How many calls can wait at each target of the service.
        controller: Share of calls that the node sends to the target.
        refusal: Share of calls that the target refuses.
        credits: Calls that the node may send; None until calls are paced.
        was_full: Whether the target has been full.
        waiting: Latest reported number of waiting calls.
        waiting_at: When that was reported, in monotonic seconds.
        reset_at: When the target reset a connection and hasn't answered since;
            0.0 if it didn't.
        waiting_at_reset: Number of calls that were waiting then.
        listed_slots: Number of calls that the target runs at once by its
            listing; None if that isn't known.
    """

    target_id: str = ""
    limit: queue_limits.QueueLimit = dataclasses.field(
        default_factory=queue_limits.QueueLimit
    )
    controller: pacing.ShareController = dataclasses.field(
        default_factory=pacing.ShareController
    )
    refusal: refusals.RefusalLevel = dataclasses.field(
        default_factory=refusals.RefusalLevel
    )
    credits: thinning.Credits | None = None
    was_full: bool = False
    waiting: int = 0
    waiting_at: float = 0.0
    reset_at: float = 0.0
    waiting_at_reset: int = 0
    listed_slots: int | None = None

    def max_waiting(self, slots: int) -> int:
        """Returns the length of the longest plausible queue.

        Args:
            slots: Number of calls that the target runs at once by its report.
        """
        if self.listed_slots is not None:
            slots = min(slots, self.listed_slots)
        return MAX_WAITING_PER_SLOT * slots

    def observe_queue(
        self, waiting: int, slots: int, at: float, now: float
    ) -> None:
        """Records the queue that the target reported, if it is plausible.

        Args:
            waiting: Number of waiting calls.
            slots: Number of calls that it runs at once.
            at: When it was reported, in monotonic seconds.
            now: When the report came to this node, in monotonic seconds.
        """
        if waiting > self.max_waiting(slots):
            return
        self._confirm_reset(waiting, slots, at)
        self.waiting = waiting
        self.waiting_at = at
        self.limit.observe_queue(self.target_id, waiting, self.was_full, at)
        self.controller.observe_queue(waiting, at, now)

    def is_pressed(self, slots: int) -> bool:
        """Returns whether all nodes should soon know of the target's queue.

        Args:
            slots: Number of calls that the target runs at once.
        """
        return self.limit.waiting is not None and (
            self.waiting >= slots or self.controller.exponent > 0.0
        )

    def recent_waiting(self, now: float) -> int:
        """Returns the reported number of waiting calls, 0 if it is old.

        Args:
            now: Monotonic time, in seconds.
        """
        return self.waiting if now - self.waiting_at <= RECENT_SECONDS else 0

    def _confirm_reset(self, waiting: int, slots: int, at: float) -> None:
        """Learns the limit if the target is alive after a reset."""
        if not self.reset_at or at <= self.reset_at:
            return
        reset_at, self.reset_at = self.reset_at, 0.0
        is_alive = at - reset_at <= CONFIRM_SECONDS
        at_reset = max(waiting, self.waiting_at_reset)
        is_long = at_reset >= RESET_WAITING_PER_SLOT * slots
        if not (is_alive and is_long):
            return
        if not self.limit.shows_full(at_reset, slots, at):
            return
        if self.limit.is_repeated_reset(reset_at):
            self.was_full = True
            self.limit.observe_full(at_reset, at)

    def observe_reset(self, now: float) -> None:
        """Records a connection that broke off before the answer.

        Args:
            now: Monotonic time, in seconds.
        """
        is_fresh = now - self.waiting_at <= CONFIRM_SECONDS
        self.reset_at = now
        self.waiting_at_reset = self.waiting if is_fresh else 0

    def observe_refusal(
        self, running: int, waiting: int, slots: int, now: float
    ) -> RefusalCause:
        """Records a refusal, with the load that the target reported with it.

        Args:
            running: Number of running calls.
            waiting: Number of waiting calls.
            slots: Number of calls that can run at once.
            now: Monotonic time, in seconds.

        Returns:
            The cause of the refusal.
        """
        is_busy = running >= slots and waiting <= self.max_waiting(slots)
        if is_busy and self.limit.shows_full(waiting, slots, now):
            self.was_full = True
            self.limit.observe_full(waiting, now)
            return RefusalCause.FULL
        self.refusal.observe_refusal(now)
        return RefusalCause.SHEDDING
