"""Changes that a node learns from the store."""

import dataclasses

from jujubeyard.routing import config
from jujubeyard.store import interface
from jujubeyard.targets import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Prefixes:
    """Where items are kept, by who writes them.

    Attributes:
        operator: Prefix of the operator's items.
        targets: Prefix of the targets' items.
        own: Prefix of the router's own items.
    """

    operator: str
    targets: str
    own: str

    @property
    def fleet(self) -> str:
        """Prefix of the router's own items that all nodes follow."""
        return self.own + "fleet/"

    @property
    def tables(self) -> str:
        """Prefix of the tables of owners, which nodes tell one another."""
        return self.own + "tables/"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration was written."""

    configuration: config.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """A zone's targets are to get nothing, or calls again."""

    zone: str
    evacuated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListed:
    """A target told about itself."""

    listing: registry.Listing


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target is no longer listed."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouterItemChanged:
    """An item of the router's own was written or removed."""

    item: interface.Item


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownItem:
    """An item that means nothing to the router."""

    key: str


Change = (
    ConfigurationChanged
    | ZoneChanged
    | TargetListed
    | TargetRemoved
    | RouterItemChanged
    | UnknownItem
)
