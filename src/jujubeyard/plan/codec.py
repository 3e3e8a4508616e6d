"""Encodes and decodes plans.

Owners are stored as 16-bit indexes and versions as 32-bit integers, so that
65,536 shards take 393 KB and stay below the store's size limit for a value.
"""

import array
import dataclasses

import cbor2

from jujubeyard.plan import tables

FORMAT_VERSION = 1
_OWNER_TYPE = "H"
_VERSION_TYPE = "I"


def encode_plan(plan: tables.Plan) -> bytes:
    """Returns the CBOR encoding of a plan."""
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            plan.version,
            plan.config_version,
            [dataclasses.astuple(row) for row in plan.gates.values()],
            [dataclasses.astuple(row) for row in plan.holdings.values()],
            {name: _encode_shards(t) for name, t in plan.shards.items()},
            [dataclasses.astuple(row) for row in plan.witness_sets],
            plan.gone,
            plan.recent_writes,
        ]
    )


def decode_plan(body: bytes) -> tables.Plan:
    """Returns the plan that a CBOR encoding holds.

    Raises:
        ValueError: The format version is not supported.
    """
    fields = cbor2.loads(body)
    if fields[0] != FORMAT_VERSION:
        raise ValueError(f"unsupported plan format version: {fields[0]!r}")
    _, version, config, gates, holdings, shards, sets, gone, writes = fields
    gate_rows = [tables.GateRow(*row) for row in gates]
    holding_rows = [tables.Holding(*row) for row in holdings]
    return tables.Plan(
        version,
        config,
        {row.holder: row for row in gate_rows},
        {row.target: row for row in holding_rows},
        {name: _decode_shards(row) for name, row in shards.items()},
        [_decode_witness_set(row) for row in sets],
        gone,
        writes,
    )


def copy_plan(plan: tables.Plan) -> tables.Plan:
    """Returns a deep copy of a plan."""
    return decode_plan(encode_plan(plan))


def _encode_shards(table: tables.ShardTable) -> list:
    members = sorted(set(table.owners))
    index = {name: number for number, name in enumerate(members)}
    owners = array.array(_OWNER_TYPE, (index[name] for name in table.owners))
    versions = array.array(_VERSION_TYPE, table.versions)
    return [members, owners.tobytes(), versions.tobytes(), table.previous]


def _decode_shards(fields: list) -> tables.ShardTable:
    members, owner_bytes, version_bytes, previous = fields
    owners = array.array(_OWNER_TYPE)
    owners.frombytes(owner_bytes)
    versions = array.array(_VERSION_TYPE)
    versions.frombytes(version_bytes)
    return tables.ShardTable(
        [members[number] for number in owners], versions.tolist(), previous
    )


def _decode_witness_set(fields: list) -> tables.WitnessSet:
    first_version, members = fields
    return tables.WitnessSet(
        first_version, [tables.WitnessRow(*row) for row in members]
    )
