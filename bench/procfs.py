"""Reads the processor time and memory of processes from /proc."""

import os
import pathlib

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
BYTES_PER_KILOBYTE = 1024


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process; 0 if it has none listed."""
    return _read_size(pid, "VmRSS:")


def peak_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process has had."""
    return _read_size(pid, "VmHWM:")


def _read_size(pid: int, name: str) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * BYTES_PER_KILOBYTE
    return 0
