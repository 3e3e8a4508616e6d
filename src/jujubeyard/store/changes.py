"""Changes of stored items, decoded for a node."""

import dataclasses

from jujubeyard.routing import config
from jujubeyard.store import interface
from jujubeyard.targets import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Prefixes:
    """Key prefixes of stored items, by the party that writes them.

    Attributes:
        operator: Prefix of items written by the operator.
        targets: Prefix of items written by targets.
        router: Prefix of items written by the router's nodes.
    """

    operator: str
    targets: str
    router: str

    @property
    def fleet(self) -> str:
        """Prefix of the router's items that all nodes watch."""
        return self.router + "fleet/"

    @property
    def tables(self) -> str:
        """Prefix of the owner tables, which nodes also send to each other."""
        return self.router + "tables/"

    @property
    def eras(self) -> str:
        """Prefix of the entries of the store's eras, which leaders write."""
        return self.router + "eras/"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The operator wrote a configuration."""

    configuration: config.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was evacuated or returned to service."""

    zone: str
    evacuated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListed:
    """A target created or updated its listing."""

    listing: registry.Listing


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target's listing was removed or is unusable."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouterItemChanged:
    """An item written by the router was updated or removed."""

    item: interface.Item


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownItem:
    """An item changed that the router does not use."""

    key: str


Change = (
    ConfigurationChanged
    | ZoneChanged
    | TargetListed
    | TargetRemoved
    | RouterItemChanged
    | UnknownItem
)
