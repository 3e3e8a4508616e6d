"""Tests the command line for operators through its main function."""

import asyncio
import io
import json
import pathlib

import pytest

from jujubeyard import codes
from jujubeyard import context
from jujubeyard import status
from jujubeyard.cli import core
from tests.utils import processes
from tests.utils import store

Status = status.ExitStatus
MANIFEST = """
cluster = "test"
zones = ["a", "b"]
[[service]]
name = "desk"
keyed = true
[[service.kind]]
name = "read"
idempotent = true
[[service.target]]
name = "desk-0"
zone = "a"
address = "127.0.0.1:9000"
[[service.target]]
name = "desk-1"
zone = "b"
address = "127.0.0.1:9001"
"""


def run(directory: pathlib.Path, *args: str) -> tuple[Status, str, str]:
    env = context.Environment(io.StringIO(), io.StringIO(), directory)
    result = core.main(list(args), env)
    return result, env.stdout.getvalue(), env.stderr.getvalue()


def run_in_thread(directory, *args: str):
    return asyncio.to_thread(run, directory, *args)


def write_files(directory: pathlib.Path, address: str) -> None:
    (directory / "manifest.toml").write_text(MANIFEST)
    (directory / "jujubeyard.toml").write_text(
        f'cluster = "test"\nstore = "{address}"\n'
    )


INVALID_MANIFESTS = {
    "no TOML": ("zones = [", "no TOML"),
    "unknown key": (MANIFEST + 'colour = "red"\n', "colour"),
    "wrong type": (MANIFEST.replace("keyed = true", 'keyed = "yes"'), "keyed"),
    "out of range": (
        MANIFEST.replace("keyed = true", "slots = 0"),
        "greater than or equal to 1",
    ),
    "unknown zone": (
        MANIFEST.replace('zone = "b"', 'zone = "c"'),
        "unknown zone",
    ),
    "target twice": (MANIFEST.replace("desk-1", "desk-0"), "stands twice"),
    "address twice": (MANIFEST.replace("9001", "9000"), "stands twice"),
    "host name": (
        MANIFEST.replace("127.0.0.1:9001", "localhost:9001"),
        "IP:PORT",
    ),
    "no targets": (MANIFEST.partition("[[service.target]]")[0], "target"),
    "bad locator": (
        MANIFEST.replace("keyed = true", 'find = {key = "cookie:x"}'),
        "header:NAME",
    ),
    "cold over slots": (
        MANIFEST.replace("keyed = true", "slots = 2\ncold_slots = 3"),
        "cold_slots",
    ),
}


@pytest.mark.parametrize("name", INVALID_MANIFESTS)
def test_check_reports_the_error_in_one_line(name, tmp_path):
    text, expected = INVALID_MANIFESTS[name]
    (tmp_path / "manifest.toml").write_text(text)
    result, stdout, stderr = run(tmp_path, "check", "manifest.toml")
    assert result is Status.BAD_MANIFEST
    assert stdout == ""
    assert "manifest.toml" in stderr
    assert expected in stderr
    assert len(stderr.splitlines()) == 1


def test_check_accepts_a_valid_manifest(tmp_path):
    (tmp_path / "manifest.toml").write_text(MANIFEST)
    result, stdout, _ = run(tmp_path, "check", "manifest.toml")
    assert result is Status.SUCCESS
    assert "1 services, 2 targets, 2 zones" in stdout


EXAMPLES = sorted(
    (pathlib.Path(__file__).parents[2] / "examples").glob("*.toml")
)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.stem)
def test_examples_are_valid_manifests(path, tmp_path):
    result, _, stderr = run(tmp_path, "check", str(path))
    assert (result, stderr) == (Status.SUCCESS, "")


async def test_apply_drain_and_restore(tmp_path):
    async with store.serving_store() as address:
        write_files(tmp_path, address)
        steps = [
            (("apply", "manifest.toml"), Status.SUCCESS, "version 1"),
            (("apply", "manifest.toml", "--base", "1"), Status.SUCCESS, "2"),
            (
                ("apply", "manifest.toml", "--base", "1"),
                Status.CONFLICT,
                "version 2 is in force",
            ),
            (
                ("apply", "manifest.toml", "--dry-run"),
                Status.SUCCESS,
                "no difference",
            ),
            (("zone", "drain", "a"), Status.SUCCESS, "version 3"),
            (
                ("zone", "drain", "b"),
                Status.BAD_MANIFEST,
                "would have no target left",
            ),
            (("zone", "drain", "z"), Status.NOT_FOUND, "zone 'z'"),
            (("zone", "restore", "a"), Status.SUCCESS, "version 4"),
            (("target", "drain", "desk-0"), Status.SUCCESS, "version 5"),
            (("target", "drain", "desk-1"), Status.BAD_MANIFEST, "no target"),
            (("target", "drain", "desk-9"), Status.NOT_FOUND, "desk-9"),
        ]
        for args, expected, text in steps:
            result, stdout, stderr = await run_in_thread(tmp_path, *args)
            assert (result, text in stdout + stderr) == (expected, True), args


async def test_apply_keeps_drains_and_shard_counts(tmp_path):
    async with store.serving_store() as address:
        write_files(tmp_path, address)
        await run_in_thread(tmp_path, "apply", "manifest.toml")
        await run_in_thread(tmp_path, "zone", "drain", "a")
        await run_in_thread(tmp_path, "apply", "manifest.toml")
        _, stdout, _ = await run_in_thread(tmp_path, "status", "--json")
        assert json.loads(stdout)["drained_zones"] == ["a"]
        changed = MANIFEST.replace("keyed = true", "keyed = true\nshards = 9")
        (tmp_path / "manifest.toml").write_text(changed)
        result, _, stderr = await run_in_thread(
            tmp_path, "apply", "manifest.toml"
        )
        assert result is Status.BAD_MANIFEST
        assert "shards can't change from 256" in stderr


async def test_dry_run_prints_the_difference_and_changes_nothing(tmp_path):
    async with store.serving_store() as address:
        write_files(tmp_path, address)
        await run_in_thread(tmp_path, "apply", "manifest.toml")
        changed = MANIFEST.replace("keyed = true", "keyed = true\nslots = 9")
        (tmp_path / "manifest.toml").write_text(changed)
        result, stdout, _ = await run_in_thread(
            tmp_path, "apply", "manifest.toml", "--dry-run"
        )
        assert result is Status.SUCCESS
        assert '+        "slots": 9,' in stdout
        _, stdout, _ = await run_in_thread(tmp_path, "status", "--json")
        assert json.loads(stdout)["accepted_version"] == 1


async def test_apply_succeeds_if_the_response_of_the_store_is_lost(tmp_path):
    async with store.serving_store() as address:
        write_files(tmp_path, address)
        await store.set_faults(address, lose_answers=1)
        result, stdout, _ = await run_in_thread(
            tmp_path, "apply", "manifest.toml"
        )
        assert (result, stdout) == (
            Status.SUCCESS,
            "accepted as version 1\n",
        )


async def test_unreachable_store_is_an_error_with_a_hint(tmp_path):
    write_files(tmp_path, processes.make_address())
    result, _, stderr = await run_in_thread(tmp_path, "apply", "manifest.toml")
    assert result is Status.STORE_UNAVAILABLE
    assert "error: the store did not answer" in stderr
    assert "hint:" in stderr
    assert "Traceback" not in stderr


async def test_debug_prints_the_traceback(tmp_path):
    write_files(tmp_path, processes.make_address())
    _, _, stderr = await run_in_thread(
        tmp_path, "apply", "manifest.toml", "--debug"
    )
    assert "Traceback" in stderr


def test_missing_settings_file_is_reported(tmp_path):
    result, _, stderr = run(tmp_path, "status")
    assert result is Status.BAD_SETTINGS
    assert "jujubeyard.toml" in stderr


def test_codes_lists_every_code(tmp_path):
    result, stdout, _ = run(tmp_path, "codes", "--json")
    assert result is Status.SUCCESS
    assert len(json.loads(stdout)) == len(codes.ResultCode)


def test_version_flag_prints_the_version(tmp_path):
    assert run(tmp_path, "--version")[:2] == (
        Status.SUCCESS,
        "jujubeyard 0.1.0\n",
    )


def test_help_lists_the_commands(tmp_path):
    result, stdout, _ = run(tmp_path, "--help")
    assert result is Status.SUCCESS
    for command in ("apply", "check", "codes", "status", "timeline", "zone"):
        assert command in stdout


def test_unknown_command_is_a_usage_error(tmp_path):
    assert run(tmp_path, "conquer")[0] is Status.USAGE
