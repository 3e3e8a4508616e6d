"""Tests of what a target process and its parent tell each other."""

import pytest

from platform_standins import documents
from platform_standins import target_process

SERVICE = documents.Service("desk", True, 4, 0.04)


@pytest.mark.parametrize(
    "spec",
    [
        target_process.Spec(
            "t1", SERVICE, "a", "127.0.0.1:80", "127.0.0.1", 81, "r", 1 << 31
        ),
        target_process.Spec(
            "t 2", SERVICE, "b", "", "", 0, "/a b/r", 0, True, 0.25
        ),
    ],
)
def test_spec_is_loaded_as_it_was_dumped(spec):
    assert target_process.load_spec(spec.dump()) == spec


@pytest.mark.parametrize(
    "command",
    [
        target_process.Command("drain"),
        target_process.Command("set_faults", {"slow_factor": 2.5}),
    ],
)
def test_command_is_one_line_and_loaded_as_it_was_dumped(command):
    line = command.dump()
    assert line.count(b"\n") == 1 and line.endswith(b"\n")
    assert target_process.load_command(line) == command


@pytest.mark.parametrize("value", [None, b"", b'{"a": 1}', bytes(range(256))])
def test_listing_write_is_one_line_and_loaded_as_it_was_dumped(value):
    write = target_process.ListingWrite("targets/t1", value)
    line = write.dump()
    assert line.count(b"\n") == 1 and line.endswith(b"\n")
    assert target_process.load_listing_write(line) == write
