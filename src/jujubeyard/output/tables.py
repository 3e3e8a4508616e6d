"""Writes tables for people and documents for scripts."""

import collections
import json

from jujubeyard import context
from jujubeyard.store import records

BOLD = "\033[1m"
PLAIN = "\033[0m"


def write_lines(env: context.Environment, lines: list[str]) -> None:
    """Writes lines."""
    for line in lines:
        env.stdout.write(line + "\n")


def write_json(env: context.Environment, document) -> None:
    """Writes one indented JSON document."""
    env.stdout.write(json.dumps(document, indent=2, sort_keys=True) + "\n")


def write_json_line(env: context.Environment, document) -> None:
    """Writes one JSON document on one line."""
    env.stdout.write(json.dumps(document, sort_keys=True) + "\n")


def write_table(env: context.Environment, rows: list[dict]) -> None:
    """Writes rows with equal keys under a heading."""
    if not rows:
        return
    names = list(rows[0])
    cells = [[str(row[name]) for name in names] for row in rows]
    widths = [
        max(len(name), *(len(line[i]) for line in cells))
        for i, name in enumerate(names)
    ]
    heading = _format_line(names, widths)
    if env.colours:
        heading = f"{BOLD}{heading}{PLAIN}"
    write_lines(env, [heading])
    write_lines(env, [_format_line(line, widths) for line in cells])


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = (c.ljust(w) for c, w in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def write_status(
    env: context.Environment,
    record: records.ConfigRecord | None,
    answers: dict[str, dict | None],
) -> None:
    """Writes the status of a cluster.

    Args:
        env: Where to write.
        record: The configuration in the store, or None.
        answers: Status of each process by admin address; None if silent.
    """
    if record is None:
        write_lines(env, ["configuration: none, or the store is silent"])
    else:
        drained = ", ".join(record.drained_zones) or "none"
        write_lines(
            env,
            [f"configuration: version {record.version}, zones out: {drained}"],
        )
    write_table(env, [_process_row(a, s) for a, s in answers.items()])
    controller = _newest_controller(answers)
    if controller is None:
        return
    write_lines(env, [""])
    write_table(env, _target_rows(record, controller, answers))


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
        held = len(status["targets"])
        return f"{held} targets, lease {status['lease_seconds']} s"
    return f"{status['open_calls']} open calls"


def _newest_controller(answers: dict[str, dict | None]) -> dict | None:
    controllers = [
        status
        for status in answers.values()
        if status is not None and status["role"] == "controller"
    ]
    return max(controllers, key=lambda s: s["plan_version"], default=None)


def _target_rows(record, controller: dict, answers) -> list[dict]:
    states: dict[str, dict] = {}
    for status in answers.values():
        if status is not None and status["role"] == "gate":
            states.update(status["targets"])
    owned = collections.Counter(
        owner for owners in controller["owners"].values() for owner in owners
    )
    zones = {}
    for service in record.manifest["service"] if record else ():
        for target in service["target"]:
            zones[target["name"]] = (service["name"], target["zone"])
    rows = []
    for target, gate in sorted(controller["holdings"].items()):
        service, zone = zones.get(target, ("(removed)", ""))
        state = states.get(target, {})
        rows.append(
            {
                "target": target,
                "service": service,
                "zone": zone,
                "gate": gate.partition("/")[0],
                "state": state.get("state", "unknown"),
                "slots": f"{state.get('used', '?')}/{state.get('limit', '?')}",
                "shards": owned[target],
            }
        )
    return rows
