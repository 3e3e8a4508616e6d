"""Tracks a call from its arrival to its reply."""

import dataclasses
import time

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.routing import config
from jujubeyard.scheduling import tracking
from jujubeyard.scheduling import work

MIN_REMAINING_SECONDS = 0.03
"""Remaining time below which a call isn't sent to a target any more."""

NO_TARGET_RETRY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class LackOfRoom:
    """Why a target had no room for a call.

    Attributes:
        target_id: The target.
        expected_seconds: Estimated duration of the call there.
        bound_seconds: How long it may have taken.
        report_age_seconds: Age of the target's latest load report.
    """

    target_id: str
    expected_seconds: float
    bound_seconds: float
    report_age_seconds: float


@dataclasses.dataclass(slots=True)
class CallState:
    """The state of a call across the attempts to serve it.

    Attributes:
        call: The call.
        route: The route that the call matches.
        service: The service that the route selects.
        deadline: When the caller stops waiting, in monotonic seconds.
        tried_targets: IDs of the targets that the call was sent to, one entry
            per attempt. An entry is empty if its target may be tried again.
        unsent_count: Number of these entries that don't count as attempts: the
            call wasn't sent, as the target had no room for its body.
        contacted_targets: IDs of all targets that the call was sent to.
        may_have_run: Whether a target may have run the call.
        fence: Fence of the assignment of the key's shard to its owner.
        queue_ratio: Value of `TargetLoad.queue_ratio()` for the target of the
            latest attempt, when the call was sent.
        sent: Estimated and observed work of the latest attempt; None before
            the first one.
        latest_code: Result code of the latest attempt.
        retry_after: When the caller should retry if the call is refused, in
            seconds.
        lacks_room: Whether the latest selection found no target only because
            none has room for the call; `retry_after` says when one will.
        lack: Why the latest target that was tried had no room, if the call may
            wait.
        may_wait: Whether the call may wait at the node for room.
        rank: Number of priorities of the service that go before the call's.
    """

    call: calls.Call
    route: config.Route
    service: config.Service
    deadline: float
    tried_targets: list[str] = dataclasses.field(default_factory=list)
    unsent_count: int = 0
    contacted_targets: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    fence: int = 0
    queue_ratio: float = 0.0
    sent: tracking.SentCall | None = None
    latest_code: codes.ResultCode = codes.ResultCode.NO_TARGET
    retry_after: float = NO_TARGET_RETRY_SECONDS
    lacks_room: bool = False
    lack: LackOfRoom | None = None
    may_wait: bool = False
    rank: int = 0

    @property
    def is_keyed(self) -> bool:
        """Whether only the owner of the call's key may serve it."""
        return self.service.keyed and self.call.key is not None

    def attempt_count(self) -> int:
        """Returns how often the call may have been sent."""
        return len(self.tried_targets) - self.unsent_count

    def traits(self) -> work.CallTraits:
        """Returns what tells the work of the call before it is sent."""
        return work.CallTraits(
            self.service.name,
            self.route.name,
            self.call.path.partition("?")[0],
            self.call.body_bytes(),
            self.call.key if self.is_keyed else None,
        )

    def remaining_seconds(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline - time.monotonic()

    def make_final_reply(self) -> calls.Reply:
        """Returns the reply to a call that no target has answered."""
        if not self.may_have_run:
            return calls.make_error_reply(self.latest_code, self.retry_after)
        if self.remaining_seconds() < MIN_REMAINING_SECONDS:
            return calls.make_error_reply(codes.ResultCode.DEADLINE_EXCEEDED)
        return calls.make_error_reply(codes.ResultCode.OUTCOME_UNKNOWN)
