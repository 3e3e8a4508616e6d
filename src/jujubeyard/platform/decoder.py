"""Decodes items of the platform's store into changes for a node."""

from jujubeyard.platform import configurations
from jujubeyard.platform import documents
from jujubeyard.store import changes
from jujubeyard.store import interface

ROUTER_PREFIX = "jujubeyard/"
PREFIXES = changes.Prefixes(
    operator=documents.OPERATOR_PREFIX,
    targets=documents.TARGET_PREFIX,
    router=ROUTER_PREFIX,
)


def decode_item(item: interface.Item) -> changes.Change:
    """Decodes an updated or removed item.

    Raises:
        errors.FormatError: The item is malformed.
    """
    key = item.key
    if key == documents.CONFIGURATION_KEY:
        return _decode_configuration(item)
    if key.startswith(documents.EVACUATION_PREFIX):
        zone = key.removeprefix(documents.EVACUATION_PREFIX)
        return changes.ZoneChanged(zone, item.value is not None)
    if key.startswith(documents.TARGET_PREFIX):
        if item.value is None:
            target_id = key.removeprefix(documents.TARGET_PREFIX)
            return changes.TargetRemoved(target_id)
        return changes.TargetListed(documents.parse_listing(key, item.value))
    if key.startswith(ROUTER_PREFIX):
        return changes.RouterItemChanged(item)
    return changes.UnknownItem(key)


def change_for_malformed_item(key: str) -> changes.Change:
    """Returns the change to apply for a malformed item.

    A target with a malformed listing is treated as removed; any other
    malformed item is ignored.
    """
    if key.startswith(documents.TARGET_PREFIX):
        return changes.TargetRemoved(key.removeprefix(documents.TARGET_PREFIX))
    return changes.UnknownItem(key)


def _decode_configuration(item: interface.Item) -> changes.Change:
    if item.value is None:
        return changes.UnknownItem(item.key)
    configuration = configurations.parse_configuration(item.value)
    return changes.ConfigurationChanged(configuration)
