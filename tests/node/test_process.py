"""Tests of the node as a process."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest

SETTINGS = """\
node = "n1"
zone = "z1"
listen = "127.88.0.1:8381"
readiness = "127.88.0.1:8388"
metrics = "127.88.0.1:7200"
reports = "127.88.0.1:7201"
store = "127.88.0.2:8384"

[limits]
drain = "2s"
evacuation = "5s"
shutdown = "6s"
max_hold = "10s"
retry_ratio = 0.2
retry_allowance = 24
cold_factor = 1.5
cold_slack = 5
"""


@pytest.fixture
def node_process(tmp_path):
    path = pathlib.Path(tmp_path) / "node.toml"
    path.write_text(SETTINGS)
    process = subprocess.Popen(
        [sys.executable, "-m", "jujubeyard.node", "--settings-file", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    os.set_blocking(process.stdout.fileno(), False)
    yield process
    process.kill()
    process.wait()


def _handles_sighup(process) -> bool:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)", status, re.MULTILINE)
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)


def test_sighup_during_start_does_not_end_process(node_process):
    """Guards against a SIGHUP that arrives while modules are imported."""
    signals_sent, output = 0, b""
    deadline = time.monotonic() + 20.0
    while b"start" not in output and time.monotonic() < deadline:
        if _handles_sighup(node_process):
            node_process.send_signal(signal.SIGHUP)
            signals_sent += 1
        time.sleep(0.01)
        output += node_process.stdout.read() or b""
    time.sleep(0.2)
    assert node_process.poll() is None
    assert b"start" in output
    assert signals_sent >= 5
