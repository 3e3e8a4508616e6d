"""Turns the store's items into changes that the router understands."""

from jujubeyard.platform import documents
from jujubeyard.store import changes
from jujubeyard.store import interface

OWN_PREFIX = "jujubeyard/"
PREFIXES = changes.Prefixes(
    operator=documents.OPERATOR_PREFIX,
    targets=documents.TARGET_PREFIX,
    own=OWN_PREFIX,
)


def decode_item(item: interface.Item) -> changes.Change:
    """Returns what an item means to the router.

    Raises:
        errors.FormatError: The item is malformed.
    """
    key = item.key
    if key == documents.CONFIGURATION_KEY:
        return _read_configuration(item)
    if key.startswith(documents.EVACUATION_PREFIX):
        zone = key.removeprefix(documents.EVACUATION_PREFIX)
        return changes.ZoneChanged(zone, item.value is not None)
    if key.startswith(documents.TARGET_PREFIX):
        if item.value is None:
            name = key.removeprefix(documents.TARGET_PREFIX)
            return changes.TargetRemoved(name)
        return changes.TargetListed(documents.read_listing(key, item.value))
    if key.startswith(OWN_PREFIX):
        return changes.RouterItemChanged(item)
    return changes.UnknownItem(key)


def change_for_malformed_item(key: str) -> changes.Change:
    """Returns what a malformed item means: what it named is unusable."""
    if key.startswith(documents.TARGET_PREFIX):
        return changes.TargetRemoved(key.removeprefix(documents.TARGET_PREFIX))
    return changes.UnknownItem(key)


def _read_configuration(item: interface.Item) -> changes.Change:
    if item.value is None:
        return changes.UnknownItem(item.key)
    found = documents.read_configuration(item.value)
    return changes.ConfigurationChanged(found)
