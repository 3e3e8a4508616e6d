"""What has become of a call so far."""

import dataclasses
import time

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.routing import config

MIN_LEFT_SECONDS = 0.03
"""Time left below which a call isn't sent any more."""

NO_TARGET_RETRY_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class Attempts:
    """What has become of a call so far.

    Attributes:
        call: The call.
        route: Its route.
        service: Its service.
        deadline: When an answer is of no use, in monotonic seconds.
        tried: Targets that it was sent to.
        may_have_run: Whether a target may have run it.
        fence: Fence of the grant under which its key's owner was found.
        ahead: Calls before the latest attempt at its target, over the slots.
        latest: Outcome of the latest attempt, as a code.
        retry_after: When the caller should return, if it is refused.
    """

    call: calls.Call
    route: config.Route
    service: config.Service
    deadline: float
    tried: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    fence: int = 0
    queue_ratio: float = 0.0
    latest: codes.ResultCode = codes.ResultCode.NO_TARGET
    retry_after: float = NO_TARGET_RETRY_SECONDS

    @property
    def is_keyed(self) -> bool:
        """Whether only the owner of the call's key may serve it."""
        return self.service.keyed and self.call.key is not None

    def left(self) -> float:
        """Returns the time left, in seconds."""
        return self.deadline - time.monotonic()

    def conclude(self) -> calls.Reply:
        """Returns the reply to a call that no target has answered."""
        if not self.may_have_run:
            return calls.refuse(self.latest, self.retry_after)
        if self.left() < MIN_LEFT_SECONDS:
            return calls.refuse(codes.ResultCode.DEADLINE_EXCEEDED)
        return calls.refuse(codes.ResultCode.OUTCOME_UNKNOWN)
