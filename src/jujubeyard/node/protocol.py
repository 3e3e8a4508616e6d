"""What callers and targets say in headers, by meaning."""

import dataclasses

KEY_COUNT = 65536
"""Keys are numbers below this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the router reads or sets.

    Attributes:
        call_id: Names a caller's attempt; echoed by targets.
        deadline: Milliseconds that the caller, or the target, has left.
        expected_target: The only target that may run the call.
        key: The call's key.
        not_run: Set on answers to calls that did not run.
        signature: A target's proof that an answer is its own.
        load: A target's report of its load.
        target: The target that answers.
        handover: What the next owner of released keys needs.
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
