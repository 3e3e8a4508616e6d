"""Changes that operators make to the configuration."""

import copy
import dataclasses
import difflib
import json

from jujubeyard import errors
from jujubeyard.store import records


def apply_manifest(
    current: records.ConfigRecord | None, manifest: dict
) -> records.ConfigRecord:
    """Returns the configuration with another manifest.

    Zones and targets that are taken out stay out.

    Raises:
        errors.ManifestError: The manifest doesn't fit the configuration.
    """
    if current is None:
        record = records.ConfigRecord(0, manifest, [], [], {}, [])
    else:
        record = dataclasses.replace(
            current,
            manifest=manifest,
            drained_zones=list(current.drained_zones),
            drained_targets=list(current.drained_targets),
            shard_counts=dict(current.shard_counts),
        )
        if manifest["cluster"] != current.manifest["cluster"]:
            raise errors.ManifestError("the cluster's name can't change")
    for service in manifest["service"]:
        _check_shards(record, service)
        record.shard_counts[service["name"]] = service["shards"]
    _check_targets(record)
    return record


def set_zone(
    current: records.ConfigRecord, zone: str, drained: bool
) -> records.ConfigRecord:
    """Returns the configuration with a zone taken out or back in.

    Raises:
        errors.NotFoundError: The manifest has no such zone.
        errors.ManifestError: A service would have no target left.
    """
    if zone not in current.manifest["zones"]:
        raise errors.NotFoundError(f"no availability zone {zone!r}")
    zones = _toggle(current.drained_zones, zone, drained)
    record = dataclasses.replace(current, drained_zones=zones)
    _check_targets(record)
    return record


def set_target(
    current: records.ConfigRecord, target: str, drained: bool
) -> records.ConfigRecord:
    """Returns the configuration with a target taken out or back in.

    Raises:
        errors.NotFoundError: The manifest has no such target.
        errors.ManifestError: A service would have no target left.
    """
    names = {
        row["name"]
        for service in current.manifest["service"]
        for row in service["target"]
    }
    if target not in names:
        raise errors.NotFoundError(f"no target {target!r}")
    targets = _toggle(current.drained_targets, target, drained)
    record = dataclasses.replace(current, drained_targets=targets)
    _check_targets(record)
    return record


def describe_difference(
    old: records.ConfigRecord | None, new: records.ConfigRecord
) -> list[str]:
    """Returns the lines that differ between two configurations."""
    before = _as_lines(old) if old else []
    lines = difflib.unified_diff(
        before, _as_lines(new), "in force", "new", lineterm="", n=2
    )
    return list(lines)


def _as_lines(record: records.ConfigRecord) -> list[str]:
    document = {
        "manifest": copy.deepcopy(record.manifest),
        "drained_zones": record.drained_zones,
        "drained_targets": record.drained_targets,
    }
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


def _toggle(names: list[str], name: str, present: bool) -> list[str]:
    rest = set(names) - {name}
    return sorted(rest | {name}) if present else sorted(rest)


def _check_shards(record: records.ConfigRecord, service: dict) -> None:
    known = record.shard_counts.get(service["name"], service["shards"])
    if known != service["shards"]:
        raise errors.ManifestError(
            f"service {service['name']!r}: shards can't change from {known}",
            "give the service another name",
        )


def _check_targets(record: records.ConfigRecord) -> None:
    zones = set(record.drained_zones)
    targets = set(record.drained_targets)
    for service in record.manifest["service"]:
        if not any(
            row["zone"] not in zones and row["name"] not in targets
            for row in service["target"]
        ):
            raise errors.ManifestError(
                f"service {service['name']!r} would have no target left",
                "take another zone or target back in first",
            )
