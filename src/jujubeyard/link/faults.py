"""Test double of a bad network: drops messages from or to given peers."""

import dataclasses

ANYONE = "*"


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Which peers' messages are lost, for development and tests only.

    Peers are named "ROLE:VM"; "*" stands for any role or VM.

    Attributes:
        drop_from: Peers whose messages are dropped on arrival.
        drop_to: Peers to which nothing is sent.
    """

    drop_from: set[str] = dataclasses.field(default_factory=set)
    drop_to: set[str] = dataclasses.field(default_factory=set)

    def loses_from(self, role: str, vm: str) -> bool:
        """Returns whether messages from a peer are lost."""
        return _names(self.drop_from, role, vm)

    def loses_to(self, role: str, vm: str) -> bool:
        """Returns whether messages to a peer are lost."""
        return _names(self.drop_to, role, vm)


def _names(peers: set[str], role: str, vm: str) -> bool:
    if not peers:
        return False
    return any(
        f"{some_role}:{some_vm}" in peers
        for some_role in (role, ANYONE)
        for some_vm in (vm, ANYONE)
    )
