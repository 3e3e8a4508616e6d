"""Test double of a bad network: drops messages from or to given VMs."""

import dataclasses

ANY_VM = "*"


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Which peers' messages are lost, for development and tests only.

    Attributes:
        drop_from: VMs whose messages are dropped on arrival.
        drop_to: VMs to which nothing is sent.
    """

    drop_from: set[str] = dataclasses.field(default_factory=set)
    drop_to: set[str] = dataclasses.field(default_factory=set)

    def loses_from(self, vm: str) -> bool:
        """Returns whether messages from a VM are lost."""
        return vm in self.drop_from or ANY_VM in self.drop_from

    def loses_to(self, vm: str) -> bool:
        """Returns whether messages to a VM are lost."""
        return vm in self.drop_to or ANY_VM in self.drop_to
