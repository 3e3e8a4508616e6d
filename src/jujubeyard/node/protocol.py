"""The HTTP headers of the protocol between callers, router and targets."""

import dataclasses

KEY_COUNT = 65536
"""Number of keys; they range from 0 to KEY_COUNT - 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the router reads or sets.

    Attributes:
        call_id: ID that the caller gave to the call; echoed by targets.
        deadline: Milliseconds until the caller stops waiting; sent by callers,
            and by the router to targets.
        expected_target: ID of the only target that may run the call.
        key: The call's key.
        not_run: Present on answers to calls that were not run.
        signature: A target's proof that it produced the answer.
        load: A target's report of its load.
        target: ID of the target that answers.
        handover: Data that the next owner of released keys needs.
        leaving: Present on all answers of a target that is leaving.
        pause: Seconds for which a target that refuses a call wants no more.
        cold: Milliseconds for which a target stays cold, in its answers to
            health checks.
    """

    call_id: str
    deadline: str
    expected_target: str
    key: str
    not_run: str
    signature: str
    load: str
    target: str
    handover: str
    leaving: str
    pause: str
    cold: str

    def all(self) -> tuple[str, ...]:
        """Returns all names."""
        return dataclasses.astuple(self)
