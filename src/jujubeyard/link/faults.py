"""Fault injection for tests: drops messages from or to given peers."""

import dataclasses

WILDCARD = "*"


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Peers whose messages are dropped, for development and tests only.

    Peers are matched by "ROLE:VM" patterns; "*" matches any role or VM.

    Attributes:
        drop_from: Patterns of peers whose messages are dropped on arrival.
        drop_to: Patterns of peers to which nothing is sent.
    """

    drop_from: set[str] = dataclasses.field(default_factory=set)
    drop_to: set[str] = dataclasses.field(default_factory=set)

    def drops_from(self, role: str, vm: str) -> bool:
        """Returns whether messages from a peer are dropped."""
        return _matches(self.drop_from, role, vm)

    def drops_to(self, role: str, vm: str) -> bool:
        """Returns whether messages to a peer are dropped."""
        return _matches(self.drop_to, role, vm)


def _matches(patterns: set[str], role: str, vm: str) -> bool:
    if not patterns:
        return False
    return any(
        f"{role_pattern}:{vm_pattern}" in patterns
        for role_pattern in (role, WILDCARD)
        for vm_pattern in (vm, WILDCARD)
    )
