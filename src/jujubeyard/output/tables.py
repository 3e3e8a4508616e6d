"""Writes the output of commands: text tables and JSON documents."""

import collections
import json

from jujubeyard import context
from jujubeyard.store import records

_ANSI_BOLD = "\033[1m"
_ANSI_RESET = "\033[0m"


def write_lines(env: context.Environment, lines: list[str]) -> None:
    """Writes each line, followed by a line break."""
    for line in lines:
        env.stdout.write(line + "\n")


def write_json(env: context.Environment, document) -> None:
    """Writes an indented JSON document."""
    env.stdout.write(json.dumps(document, indent=2, sort_keys=True) + "\n")


def write_json_line(env: context.Environment, document) -> None:
    """Writes a JSON document on a single line."""
    env.stdout.write(json.dumps(document, sort_keys=True) + "\n")


def write_table(env: context.Environment, rows: list[dict]) -> None:
    """Writes rows as a table with a heading; nothing if there are no rows.

    Args:
        env: Output streams; its colours make the heading bold.
        rows: Cells of each row by column name, with equal keys in all rows.
    """
    if not rows:
        return
    columns = list(rows[0])
    cells = [[str(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[i]) for line in cells))
        for i, column in enumerate(columns)
    ]
    heading = _format_line(columns, widths)
    if env.colours:
        heading = f"{_ANSI_BOLD}{heading}{_ANSI_RESET}"
    write_lines(env, [heading])
    write_lines(env, [_format_line(line, widths) for line in cells])


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return "  ".join(padded).rstrip()


def write_status(
    env: context.Environment,
    record: records.ConfigRecord | None,
    statuses: dict[str, dict | None],
) -> None:
    """Writes the status of a cluster.

    Args:
        env: Output streams.
        record: The configuration in the store, or None if there is none or the
            store did not respond.
        statuses: Status document of each process by its admin address; None if
            the process did not respond.
    """
    if record is None:
        write_lines(env, ["configuration: none, or the store did not answer"])
    else:
        drained = ", ".join(record.drained_zones) or "none"
        write_lines(
            env,
            [f"configuration: version {record.version}, zones out: {drained}"],
        )
    write_table(
        env,
        [_process_row(address, status) for address, status in statuses.items()],
    )
    controller = _controller_with_newest_plan(statuses)
    if controller is None:
        return
    write_lines(env, [""])
    write_table(env, _target_rows(record, controller, statuses))


def _process_row(address: str, status: dict | None) -> dict:
    if status is None:
        return {
            "process": "(silent)",
            "admin": address,
            "zone": "",
            "plan": "",
            "configuration": "",
            "state": "no answer",
        }
    return {
        "process": status["process"],
        "admin": address,
        "zone": status["zone"],
        "plan": status["plan_version"],
        "configuration": status["config_version"],
        "state": _describe_state(status),
    }


def _describe_state(status: dict) -> str:
    if status.get("leaving"):
        return "leaving"
    if status["role"] == "controller":
        store = "store ok" if status["store_ok"] else "store silent"
        return f"rank {status['rank']}, {store}"
    if status["role"] == "gate":
        target_count = len(status["targets"])
        return f"{target_count} targets, lease {status['lease_seconds']} s"
    return f"{status['open_calls']} open calls"


def _controller_with_newest_plan(
    statuses: dict[str, dict | None],
) -> dict | None:
    controllers = [
        status
        for status in statuses.values()
        if status is not None and status["role"] == "controller"
    ]
    return max(
        controllers, key=lambda status: status["plan_version"], default=None
    )


def _target_rows(record, controller: dict, statuses) -> list[dict]:
    target_states: dict[str, dict] = {}
    for status in statuses.values():
        if status is not None and status["role"] == "gate":
            target_states.update(status["targets"])
    shard_counts = collections.Counter(
        owner for owners in controller["owners"].values() for owner in owners
    )
    services_and_zones = {}
    for service in record.manifest["service"] if record else ():
        for target in service["target"]:
            services_and_zones[target["name"]] = (
                service["name"],
                target["zone"],
            )
    rows = []
    for target, holder in sorted(controller["holdings"].items()):
        service, zone = services_and_zones.get(target, ("(removed)", ""))
        state = target_states.get(target, {})
        rows.append(
            {
                "target": target,
                "service": service,
                "zone": zone,
                "gate": holder.partition("/")[0],
                "state": state.get("state", "unknown"),
                "slots": f"{state.get('used', '?')}/{state.get('limit', '?')}",
                "shards": shard_counts[target],
            }
        )
    return rows
