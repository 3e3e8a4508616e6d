"""Tests the settings files of all programs through their main functions."""

import pytest

from jujubeyard import status
from jujubeyard.controller import core as controller_core
from jujubeyard.entry import core as entry_core
from jujubeyard.gate import core as gate_core
from jujubeyard.standins import store
from jujubeyard.standins import target
from tests.utils import processes

COMMON = {
    "cluster": '"test"',
    "vm": '"vm-0"',
    "zone": '"a"',
    "secret": '"0123456789abcdef"',
    "admin": '"127.0.0.1:7012"',
    "listen": '"127.0.0.1:7002"',
}
CONTROLLERS = {"controllers": '["127.0.0.1:7003"]'}
STORE = {"store": '"127.0.0.1:7001"', "vm_list": '"127.0.0.1:7001"'}
PROGRAMS = {
    "entry": (entry_core.main, {**COMMON, **CONTROLLERS}),
    "gate": (gate_core.main, {**COMMON, **CONTROLLERS}),
    "controller": (controller_core.main, {**COMMON, **STORE}),
    "store": (store.main, {"listen": '"127.0.0.1:7001"'}),
    "target": (
        target.main,
        {"name": '"desk-0"', "listen": '"127.0.0.1:9000"'},
    ),
}


def run(main, directory, settings: dict[str, str], *extra_args: str):
    env = processes.make_environment()
    env.config_dir = directory
    lines = [f"{name} = {value}\n" for name, value in settings.items()]
    (directory / "settings.toml").write_text("".join(lines))
    args = ["--settings-file", "settings.toml", "--check", *extra_args]
    return main(args, env), env.stderr.getvalue()


@pytest.mark.parametrize("program", PROGRAMS)
def test_check_accepts_valid_settings(program, tmp_path):
    main, settings = PROGRAMS[program]
    assert run(main, tmp_path, settings) == (status.ExitStatus.SUCCESS, "")


INVALID_SETTINGS = {
    "unknown key": ({"colour": '"red"'}, "colour"),
    "wrong type": ({"listen": "7"}, "listen"),
    "host name": ({"listen": '"localhost:1"'}, "IP:PORT"),
    "port out of range": ({"listen": '"127.0.0.1:70000"'}, "65535"),
}


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("name", INVALID_SETTINGS)
def test_check_reports_the_error_in_one_line(program, name, tmp_path):
    main, settings = PROGRAMS[program]
    change, expected = INVALID_SETTINGS[name]
    exit_status, stderr = run(main, tmp_path, {**settings, **change})
    assert exit_status is status.ExitStatus.BAD_SETTINGS
    assert "settings.toml" in stderr
    assert expected in stderr
    assert len(stderr.splitlines()) == 1


@pytest.mark.parametrize("program", PROGRAMS)
def test_version_and_help_flags(program):
    main, _ = PROGRAMS[program]
    for flag, expected in (("--version", "0.1.0"), ("--help", "settings")):
        env = processes.make_environment()
        assert main([flag], env) is status.ExitStatus.SUCCESS
        assert expected in env.stdout.getvalue().lower()


def test_missing_argument_is_a_usage_error():
    env = processes.make_environment()
    assert gate_core.main([], env) is status.ExitStatus.USAGE
