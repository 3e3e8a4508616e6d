"""Reads a configuration of the platform, checks it and shows the findings."""

import asyncio
import collections
import collections.abc
import dataclasses
import pathlib

from jujubeyard import connections
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import status
from jujubeyard.advice import check
from jujubeyard.advice import findings
from jujubeyard.advice import limits
from jujubeyard.node import attempts
from jujubeyard.node import cluster_view
from jujubeyard.output import tables
from jujubeyard.platform import configurations
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.routing import config

STORE_SECONDS = 3.0
EXIT_STATUS_BY_SEVERITY = {
    findings.Severity.ERROR: status.ExitStatus.BAD_CONFIGURATION,
    findings.Severity.WARNING: status.ExitStatus.WARNINGS,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What a configuration is checked against.

    Attributes:
        in_force: The configuration in force; None if it isn't known.
        node_count: Number of nodes; None if it isn't known.
        target_counts: Targets by service; None if they aren't known.
    """

    in_force: config.Configuration | None = None
    node_count: int | None = None
    target_counts: collections.abc.Mapping[str, int] | None = None


def is_configuration(path: pathlib.Path) -> bool:
    """Returns whether a file holds a JSON object, which no manifest begins."""
    try:
        with path.open("rb") as file:
            return file.read(64).lstrip().startswith(b"{")
    except OSError:
        return False


def read_in_force(path: pathlib.Path) -> config.Configuration:
    """Returns the configuration of a file.

    Raises:
        errors.NotFoundError: The file can't be read.
        errors.FormatError: The configuration is malformed.
    """
    try:
        return configurations.parse_configuration(path.read_bytes())
    except OSError as exc:
        raise errors.NotFoundError(f"{path}: {exc.strerror}") from exc


async def read_surroundings(address: str) -> Surroundings:
    """Reads what is in force and listed in the platform's store.

    Args:
        address: Address of the store as "IP:PORT".

    Raises:
        errors.StoreError: The store doesn't answer.
        errors.FormatError: The configuration in force is malformed.
    """
    session = connections.make_session(headers.NAMES.call_id, force_close=True)
    client = store.PlatformStore(address, session, STORE_SECONDS, STORE_SECONDS)
    nodes_prefix = decoder.PREFIXES.fleet + cluster_view.NODES_PREFIX
    try:
        item = _unwrap(await client.read(documents.CONFIGURATION_KEY))
        targets = _unwrap(await client.read_all(decoder.PREFIXES.targets))
        nodes = _unwrap(await client.read_all(nodes_prefix))
    finally:
        await session.close()
    in_force = None
    if item is not None and item.value is not None:
        in_force = configurations.parse_configuration(item.value)
    return Surroundings(
        in_force, len(nodes.items), _count_targets(targets.items)
    )


def _unwrap(outcome):
    if outcome.is_err():
        raise errors.StoreError(
            f"the store did not answer: {outcome.err_value.detail}"
        )
    return outcome.ok_value


def _count_targets(items) -> collections.Counter[str]:
    counts = collections.Counter()
    for item in items:
        try:
            listing = documents.parse_listing(item.key, item.value)
        except errors.FormatError:
            continue
        counts[listing.service] += 1
    return counts


def run(
    env: context.Environment,
    path: pathlib.Path,
    surroundings: Surroundings,
    as_json: bool,
) -> status.ExitStatus:
    """Checks a configuration and shows the findings.

    Args:
        env: Output streams.
        path: File with the configuration.
        surroundings: What it is checked against.
        as_json: Whether to write one JSON document.

    Returns:
        The exit status: of errors, else of warnings, else of success.
    """
    found = _check(path.read_bytes(), surroundings)
    if as_json:
        tables.write_json(env, [_to_document(finding) for finding in found])
    else:
        tables.write_lines(env, [*map(_to_line, found), _sum_up(path, found)])
    for severity, exit_status in EXIT_STATUS_BY_SEVERITY.items():
        if any(finding.severity is severity for finding in found):
            return exit_status
    return status.ExitStatus.SUCCESS


def _check(body: bytes, surroundings: Surroundings) -> list[findings.Finding]:
    try:
        configuration = configurations.parse_configuration(body)
    except errors.FormatError as exc:
        code = findings.FindingCode.UNREADABLE_DOCUMENT
        return [findings.Finding(code, None, "", "", exc.message)]
    deployment = limits.Deployment(
        attempts.MIN_REMAINING_SECONDS,
        surroundings.node_count,
        surroundings.target_counts,
    )
    return check.check_configuration(
        configuration, surroundings.in_force, deployment
    )


def _to_document(finding: findings.Finding) -> dict:
    return {
        "code": int(finding.code),
        "name": finding.code.name.lower(),
        "severity": finding.severity.value,
        "kind": finding.kind.value if finding.kind else None,
        "entry": finding.name,
        "field": finding.field,
        "detail": finding.detail,
        "summary": findings.CODE_INFO[finding.code].summary,
    }


def _to_line(finding: findings.Finding) -> str:
    kind = finding.kind.value if finding.kind else "document"
    place = " ".join(part for part in (kind, finding.name) if part)
    if finding.field:
        place += f", {finding.field}"
    name = finding.code.name.lower()
    return (
        f"{finding.severity.value} {int(finding.code)} {name}: {place}: "
        f"{finding.detail}"
    )


def _sum_up(path: pathlib.Path, found: list[findings.Finding]) -> str:
    counts = collections.Counter(finding.severity for finding in found)
    numbers = ", ".join(
        f"{counts[severity]} {severity.value}s"
        for severity in findings.Severity
    )
    return f"{path}: {numbers}"


def find_surroundings(
    in_force: pathlib.Path | None,
    store_address: str,
    node_count: int | None,
    target_counts: collections.abc.Mapping[str, int] | None,
) -> Surroundings:
    """Returns what to check against; what is given goes before the store's.

    Args:
        in_force: File with the configuration in force, or None.
        store_address: Address of the platform's store; empty for none.
        node_count: Number of nodes, or None.
        target_counts: Targets by service, or None.

    Raises:
        errors.JujubeyardError: The file or the store can't be read.
    """
    surroundings = Surroundings()
    if store_address:
        surroundings = asyncio.run(read_surroundings(store_address))
    if in_force is not None:
        configuration = read_in_force(in_force)
        surroundings = dataclasses.replace(surroundings, in_force=configuration)
    if node_count is not None:
        surroundings = dataclasses.replace(surroundings, node_count=node_count)
    if target_counts is not None:
        surroundings = dataclasses.replace(
            surroundings, target_counts=target_counts
        )
    return surroundings
