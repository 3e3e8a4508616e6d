"""Reads processor time and memory of processes."""

import os
import pathlib

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KILOBYTE
    return 0
