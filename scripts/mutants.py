"""Mutation tests: removes one mechanism and runs the test that covers it.

Works on a scratch copy of the source tree. If the test passes without the
mechanism, it does not check the mechanism.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("src", "tests", "scripts", "docs", "examples", "pyproject.toml")
PARALLEL = 2
TIMEOUT_SECONDS = 300
_ALONE = "tests/faults/test_alone.py::test_promises_hold_under_fault"


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A change to the source that disables one mechanism.

    Attributes:
        name: The faulty behaviour that results.
        path: Path of the module, relative to src/jujubeyard.
        old: Source text of the mechanism.
        new: Text that replaces it.
        test: Test that must fail, as an argument of pytest.
    """

    name: str
    path: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        "shards are released while calls run",
        "gate/release.py",
        "    if not row.service.keyed:\n        return True\n",
        "    return True\n",
        f"{_ALONE}[drain_targets_in_turn]",
    ),
    Mutant(
        "a takeover does not wait until promises expire",
        "lease/witness.py",
        "return max(0.0, max(expiries, default=now) - now)",
        "return 0.0",
        "tests/lease/test_takeover_machine.py",
    ),
    Mutant(
        "witnesses lose the minimum versions of purged holders",
        "lease/witness.py",
        "return _HolderPromises(min_version=self._purged_min_version)",
        "return _HolderPromises()",
        "tests/lease/test_witness.py",
    ),
    Mutant(
        "a holder ignores the end of its lease",
        "lease/holder.py",
        "return now < self._valid_until",
        "return self._valid_until > 0.0",
        f"{_ALONE}[drain_zone_of_cut_gate]",
    ),
    Mutant(
        "a controller makes plans without reaching a majority",
        "controller/readiness.py",
        "    return _is_majority(reachable, witnesses)"
        " or _is_majority(reachable, listed)\n",
        "    return True\n",
        "tests/controller/test_controller.py",
    ),
    Mutant(
        "witnesses grant no promises while the store is down",
        "controller/handlers.py",
        "            granted,\n",
        "            granted and controller._store_ok,\n",
        "tests/faults/test_harmless.py::test_no_call_fails[store_down]",
    ),
    Mutant(
        "a takeover sets no horizon for request ids",
        "gate/acquire.py",
        "horizon = clock.wall() + dedupe.SKEW_SECONDS",
        "horizon = 0.0",
        f"{_ALONE}[kill_gate]",
    ),
    Mutant(
        "a handover drops request ids",
        "gate/acquire.py",
        "    gate.ids.merge(reply.ids, reply.horizons, clock.wall())\n"
        "    busy_until",
        "    busy_until",
        f"{_ALONE}[restart_gate_gracefully]",
    ),
    Mutant(
        "a gate exits without a handover",
        "gate/gate.py",
        "        await self._hand_over()\n",
        "",
        "tests/faults/test_harmless.py::"
        "test_no_call_fails[restart_gate_gracefully]",
    ),
    Mutant(
        "cold targets get all their slots",
        "admission/ramp.py",
        "        self.limit = self._cold_slots\n",
        "        self.limit = self._slots\n",
        f"{_ALONE}[kill_first_controller]",
    ),
    Mutant(
        "the ramp ignores a restart",
        "gate/dispatch.py",
        "        target.ramp.reset()\n        _record_cold(gate, target, "
        "reason)",
        "        _record_cold(gate, target, reason)",
        f"{_ALONE}[turn_cold]",
    ),
    Mutant(
        "plans ignore drains",
        "manifest/tables.py",
        "drained = (\n"
        '                target["zone"] in drained_zones\n'
        '                or target["name"] in drained_targets\n'
        "            )",
        "drained = False",
        f"{_ALONE}[drain_zone]",
    ),
    Mutant(
        "entries send pooled calls to gates of drained targets",
        "entry/routing.py",
        "target is not None and not target.drained:",
        "target is not None:",
        "tests/entry/test_routing.py",
    ),
    Mutant(
        "gates keep pooled calls for drained targets",
        "gate/dispatch.py",
        "row.lifecycle.is_held() and not _is_closed_by_drain(row, now)",
        "row.lifecycle.is_held()",
        "tests/gate/test_gate.py",
    ),
    Mutant(
        "answers are not matched with their calls",
        "gate/dispatch.py",
        "    if not response.matches_call:\n",
        "    if False:\n",
        f"{_ALONE}[cross_answers]",
    ),
    Mutant(
        "entries retry calls that are not idempotent",
        "entry/entry.py",
        "return parsed.kind.idempotent and self._retry_budget.spend()",
        "return True",
        "tests/entry/test_entry.py",
    ),
    Mutant(
        "entries ignore that an earlier attempt may have run",
        "entry/replies.py",
        "    if may_have_run and not_run:\n",
        "    if False:\n",
        "tests/entry/test_entry.py",
    ),
    Mutant(
        "followers install older plans",
        "plan/follower.py",
        "        if push.version <= self.plan_version:\n            return\n",
        "",
        "tests/plan/test_follower.py",
    ),
    Mutant(
        "a lost response to a write counts as a conflict",
        "store/config_writer.py",
        "        if await self._find_write(write_id, record.version):\n"
        "            return record\n",
        "",
        "tests/cli/test_commands.py",
    ),
)


def run_mutant(mutant: Mutant) -> bool:
    """Returns whether the test of a mutant fails, as it must."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as name:
        directory = pathlib.Path(name)
        for item in COPIED:
            source = ROOT / item
            if source.is_dir():
                shutil.copytree(source, directory / item)
            else:
                shutil.copy(source, directory / item)
        module = directory / "src" / "jujubeyard" / mutant.path
        text = module.read_text(encoding="utf-8")
        if mutant.old not in text:
            raise ValueError(
                f"{mutant.name}: the module does not contain the old text"
            )
        module.write_text(text.replace(mutant.old, mutant.new, 1))
        return _run_test(directory, mutant.test) != 0


def _run_test(directory: pathlib.Path, test: str) -> int:
    env = {**os.environ, "PYTHONPATH": str(directory / "src")}
    command = [sys.executable, "-m", "pytest", "-x", "-q", test]
    completed = subprocess.run(
        command,
        cwd=directory,
        env=env,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    if completed.returncode not in (0, 1):
        raise RuntimeError(f"{test}: pytest exited with {completed.returncode}")
    return completed.returncode


def main() -> int:
    """Runs all mutants, or those whose names contain an argument."""
    words = sys.argv[1:]
    chosen = [m for m in MUTANTS if all(word in m.name for word in words)]
    unnoticed = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for mutant, noticed in zip(
            chosen, pool.map(run_mutant, chosen), strict=True
        ):
            outcome = "noticed" if noticed else "NOT NOTICED"
            print(f"{outcome:<12} {mutant.name}  ({mutant.test})", flush=True)
            unnoticed += not noticed
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
