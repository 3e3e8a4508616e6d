"""Learns how many calls can wait at a target.

Targets don't say how many. One that turns a call away, or repeatedly resets
connections, while many wait has shown it. The targets of a service are taken to
be alike.
"""

import dataclasses
import math

ADJUSTMENT = 0.5
"""Part of the difference by which a new observation changes the limit."""

MAX_GROWTH = 1.5
"""Factor by which one report may raise the limit."""

RAISE_SECONDS = 10.0
"""Time without a full target after which the limit is raised by one call."""

FORGET_SECONDS = 120.0
"""Time without a full target after which no limit is known."""

EVIDENCE_SECONDS = 30.0
"""Time for which the longest reported queue is remembered."""

MIN_RESET_GAP_SECONDS = 0.2
"""Resets within this time may have one cause, such as a cut of the network."""

MAX_RESET_GAP_SECONDS = 10.0
"""Time within which a second reset shows that targets are full."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedQueue:
    """A long queue that a target reported.

    Attributes:
        waiting: Number of waiting calls.
        target_id: The target.
        at: When it was reported, in monotonic seconds.
    """

    waiting: int
    target_id: str
    at: float


@dataclasses.dataclass(slots=True)
class QueueLimit:
    """The number of calls that can wait at each target of a service.

    Attributes:
        waiting: The limit; None while it isn't known.
        full_at: When a target was last full, in monotonic seconds.
        observations: Number of full targets, those of other nodes included.
        own_observations: Number of those that this node itself found.
        raised_at: When the limit was last raised or learned.
        longest: The longest queues of two targets that were reported lately.
        reset_at: When a target with a long queue last reset a connection
            without showing a limit; None if none did.
    """

    waiting: float | None = None
    full_at: float = 0.0
    observations: int = 0
    own_observations: int = 0
    raised_at: float = 0.0
    longest: list[ReportedQueue] = dataclasses.field(default_factory=list)
    reset_at: float | None = None

    def observe_queue(
        self, target_id: str, waiting: int, was_full: bool, now: float
    ) -> None:
        """Records the queue that a target reported; so many calls fit.

        Args:
            target_id: The target.
            waiting: Number of waiting calls.
            was_full: Whether the target itself has been full before. Only then
                its report alone may raise the limit.
            now: Monotonic time, in seconds.
        """
        if not waiting:
            return
        self._remember(ReportedQueue(waiting, target_id, now))
        if self.waiting is None:
            return
        if was_full and waiting > self.waiting:
            self.waiting = min(float(waiting), MAX_GROWTH * self.waiting)
        self.waiting = max(self.waiting, float(self._proven(now)))

    def _proven(self, now: float) -> int:
        """Returns the longest recent queue that two targets have reached.

        Of the two longest the shorter one counts, as a target may report
        nonsense.
        """
        if len(self.longest) < 2 or any(
            now - queue.at > EVIDENCE_SECONDS for queue in self.longest
        ):
            return 0
        return self.longest[1].waiting

    def _remember(self, queue: ReportedQueue) -> None:
        """Keeps the longest recent queues of two targets."""
        recent = [
            other
            for other in self.longest
            if queue.at - other.at <= EVIDENCE_SECONDS
            and not (
                other.target_id == queue.target_id
                and other.waiting <= queue.waiting
            )
        ]
        if all(other.target_id != queue.target_id for other in recent):
            recent.append(queue)
        recent.sort(key=lambda other: -other.waiting)
        self.longest = recent[:2]

    def shows_full(self, waiting: int, slots: int, now: float) -> bool:
        """Returns whether a target with such a queue may be full.

        It isn't if longer queues were possible a short time ago.

        Args:
            waiting: Number of waiting calls.
            slots: Number of calls that the target runs at once.
            now: Monotonic time, in seconds.
        """
        return waiting >= max(slots, self._proven(now))

    def is_repeated_reset(self, at: float) -> bool:
        """Records a reset by a target with a long queue.

        Connections break for other reasons, too. As long as no limit is known,
        a single reset doesn't show one, nor do several at the same time.

        Args:
            at: When the connection was reset, in monotonic seconds.

        Returns:
            Whether the reset shows that a target is full.
        """
        if self.current(at) is not None:
            return True
        earlier = self.reset_at
        gap = math.inf if earlier is None else at - earlier
        if gap >= MIN_RESET_GAP_SECONDS:
            self.reset_at = at
        return MIN_RESET_GAP_SECONDS <= gap <= MAX_RESET_GAP_SECONDS

    def observe_full(self, waiting: int, now: float) -> None:
        """Records that a target with such a queue took no further call.

        Args:
            waiting: Number of waiting calls.
            now: Monotonic time, in seconds.
        """
        self.own_observations += 1
        self.merge(waiting, now)

    def merge(self, waiting: float, full_at: float) -> None:
        """Applies a limit that this node or another one has observed.

        Args:
            waiting: Number of waiting calls.
            full_at: When a target was full, in monotonic seconds.
        """
        if full_at <= self.full_at:
            return
        self.observations += 1
        self.full_at = self.raised_at = full_at
        if self.waiting is None:
            self.waiting = float(waiting)
        else:
            self.waiting += ADJUSTMENT * (waiting - self.waiting)

    def current(self, now: float) -> float | None:
        """Returns the limit; None if it isn't known.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.waiting is None:
            return None
        if now - self.full_at > FORGET_SECONDS:
            self.waiting = None
            return None
        if now - self.raised_at >= RAISE_SECONDS:
            self.raised_at = now
            self.waiting += 1.0
        return self.waiting
