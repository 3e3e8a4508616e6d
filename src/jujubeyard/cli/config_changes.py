"""Configuration changes that operators can make, and their validation."""

import copy
import dataclasses
import difflib
import json

from jujubeyard import errors
from jujubeyard.store import records


def apply_manifest(
    current: records.ConfigRecord | None, manifest: dict
) -> records.ConfigRecord:
    """Returns the configuration with its manifest replaced.

    Drained zones and targets stay drained.

    Raises:
        errors.ManifestError: The manifest changes the cluster's name or the
            shard count of a service, or a service would have no target left.
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
        _check_shard_count(record, service)
        record.shard_counts[service["name"]] = service["shards"]
    _check_targets_left(record)
    return record


def set_zone_drained(
    current: records.ConfigRecord, zone: str, drained: bool
) -> records.ConfigRecord:
    """Returns the configuration with a zone drained or restored.

    Raises:
        errors.NotFoundError: The manifest has no such zone.
        errors.ManifestError: A service would have no target left.
    """
    if zone not in current.manifest["zones"]:
        raise errors.NotFoundError(
            f"the manifest has no availability zone {zone!r}"
        )
    zones = _set_membership(current.drained_zones, zone, drained)
    record = dataclasses.replace(current, drained_zones=zones)
    _check_targets_left(record)
    return record


def set_target_drained(
    current: records.ConfigRecord, target: str, drained: bool
) -> records.ConfigRecord:
    """Returns the configuration with a target drained or restored.

    Raises:
        errors.NotFoundError: The manifest has no such target.
        errors.ManifestError: A service would have no target left.
    """
    target_names = {
        target_document["name"]
        for service in current.manifest["service"]
        for target_document in service["target"]
    }
    if target not in target_names:
        raise errors.NotFoundError(f"the manifest has no target {target!r}")
    targets = _set_membership(current.drained_targets, target, drained)
    record = dataclasses.replace(current, drained_targets=targets)
    _check_targets_left(record)
    return record


def describe_difference(
    old: records.ConfigRecord | None, new: records.ConfigRecord
) -> list[str]:
    """Returns the lines of a unified diff of two configurations."""
    old_lines = _format_lines(old) if old else []
    lines = difflib.unified_diff(
        old_lines, _format_lines(new), "in force", "new", lineterm="", n=2
    )
    return list(lines)


def _format_lines(record: records.ConfigRecord) -> list[str]:
    document = {
        "manifest": copy.deepcopy(record.manifest),
        "drained_zones": record.drained_zones,
        "drained_targets": record.drained_targets,
    }
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


def _set_membership(names: list[str], name: str, present: bool) -> list[str]:
    rest = set(names) - {name}
    return sorted(rest | {name}) if present else sorted(rest)


def _check_shard_count(record: records.ConfigRecord, service: dict) -> None:
    current = record.shard_counts.get(service["name"], service["shards"])
    if current != service["shards"]:
        raise errors.ManifestError(
            f"service {service['name']!r}: shards can't change from {current}",
            "to change its shards, give the service another name",
        )


def _check_targets_left(record: records.ConfigRecord) -> None:
    drained_zones = set(record.drained_zones)
    drained_targets = set(record.drained_targets)
    for service in record.manifest["service"]:
        if not any(
            target["zone"] not in drained_zones
            and target["name"] not in drained_targets
            for target in service["target"]
        ):
            raise errors.ManifestError(
                f"service {service['name']!r} would have no target left",
                "restore another zone or target first",
            )
