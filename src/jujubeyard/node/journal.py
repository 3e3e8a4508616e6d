"""Structured lines on decisions, bounded in volume, that never block."""

import fcntl
import logging
import os
import time

from pythonjsonlogger import json as json_logs

LINES_PER_SECOND = 60.0
MAX_SAVED_LINES = 240.0
MAX_HELD_BYTES = 65536
MAX_DETAIL = 2000
EVENT_LEVEL = logging.INFO


class Output:
    """Writes lines to a descriptor; drops what it doesn't take at once.

    Attributes:
        dropped: Number of lines that were dropped.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._held = b""
        self.dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line: str) -> None:
        """Writes a line, or keeps or drops it."""
        data = line.encode()
        if len(self._held) + len(data) > MAX_HELD_BYTES:
            self.dropped += 1
            return
        self._held += data
        self.flush()

    def flush(self) -> None:
        """Writes what is held, as far as the descriptor takes it."""
        if not self._held:
            return
        try:
            written = os.write(self._descriptor, self._held)
        except BlockingIOError:
            return
        self._held = self._held[written:]


class Journal:
    """The decisions of a process.

    Lines on changes of state are always written. Lines on calls draw on an
    allowance; how many were left out is said in the next line written.
    """

    def __init__(self, output: Output, process: str):
        self._output = output
        self._allowance = MAX_SAVED_LINES
        self._filled_at = time.monotonic()
        self._left_out = 0
        self._formatter = json_logs.JsonFormatter("%(message)s")
        self._process = process

    def log_event(self, event: str, **fields) -> None:
        """Writes a change of what the process believes."""
        self._write(event, fields)

    def log_call(self, event: str, **fields) -> None:
        """Writes a decision on a call, if the allowance lasts."""
        now = time.monotonic()
        earned = (now - self._filled_at) * LINES_PER_SECOND
        self._allowance = min(self._allowance + earned, MAX_SAVED_LINES)
        self._filled_at = now
        if self._allowance < 1.0:
            self._left_out += 1
            return
        self._allowance -= 1.0
        if self._left_out:
            fields["lines_left_out"] = self._left_out
            self._left_out = 0
        self._write(event, fields)

    def _write(self, event: str, fields: dict) -> None:
        record = logging.LogRecord(
            self._process, EVENT_LEVEL, "", 0, event, None, None
        )
        record.__dict__.update(fields)
        record.__dict__["node"] = self._process
        record.__dict__["at"] = round(time.time(), 4)
        self._output.write(self._formatter.format(record) + "\n")


class LibraryHandler(logging.Handler):
    """Writes what libraries log as lines of a journal."""

    def __init__(self, notes: Journal):
        super().__init__(logging.WARNING)
        self._notes = notes

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, with its exception if it has one."""
        detail = record.getMessage()
        if record.exc_info:
            detail += "\n" + logging.Formatter().formatException(
                record.exc_info
            )
        self._notes.log_call(
            "library", logger=record.name, detail=detail[:MAX_DETAIL]
        )


def capture_libraries(notes: Journal) -> None:
    """Sends what libraries log to a journal."""
    root = logging.getLogger()
    root.handlers = [LibraryHandler(notes)]
    root.setLevel(logging.WARNING)
