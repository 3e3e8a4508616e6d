"""Structured JSON logging that is rate limited and never blocks."""

import fcntl
import logging
import os
import time

from pythonjsonlogger import json as json_logs

CALL_LINES_PER_SECOND = 60.0
MAX_CALL_LINE_BURST = 240.0
MAX_BUFFERED_BYTES = 65536
MAX_DETAIL_CHARS = 2000
EVENT_LEVEL = logging.INFO


class NonBlockingWriter:
    """Writes lines to a file descriptor without ever blocking.

    Data that the descriptor doesn't accept at once is buffered. A line that
    doesn't fit into the buffer is dropped.

    Attributes:
        dropped_lines: Number of lines that were dropped.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer = b""
        self.dropped_lines = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line: str) -> None:
        """Writes or buffers a line; drops it if the buffer is full."""
        data = line.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Writes as much buffered data as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        self._buffer = self._buffer[written:]


class Journal:
    """The structured log of a process.

    State changes are always logged. Lines about single calls are limited by a
    token bucket; the next line written for a call states how many were
    omitted.
    """

    def __init__(self, writer: NonBlockingWriter, process_name: str):
        self._writer = writer
        self._tokens = MAX_CALL_LINE_BURST
        self._refilled_at = time.monotonic()
        self._omitted_lines = 0
        self._formatter = json_logs.JsonFormatter("%(message)s")
        self._process_name = process_name

    def log_event(self, event: str, **fields) -> None:
        """Logs a state change, without a rate limit.

        Args:
            event: Text of the event.
            **fields: Further fields of the line.
        """
        self._write(event, fields)

    def log_call(self, event: str, **fields) -> None:
        """Logs an event of a single call, subject to the rate limit.

        Args:
            event: Text of the event.
            **fields: Further fields of the line.
        """
        now = time.monotonic()
        earned = (now - self._refilled_at) * CALL_LINES_PER_SECOND
        self._tokens = min(self._tokens + earned, MAX_CALL_LINE_BURST)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._omitted_lines += 1
            return
        self._tokens -= 1.0
        if self._omitted_lines:
            fields["lines_left_out"] = self._omitted_lines
            self._omitted_lines = 0
        self._write(event, fields)

    def _write(self, event: str, fields: dict) -> None:
        record = logging.LogRecord(
            self._process_name, EVENT_LEVEL, "", 0, event, None, None
        )
        record.__dict__.update(fields)
        record.__dict__["node"] = self._process_name
        record.__dict__["at"] = round(time.time(), 4)
        self._writer.write(self._formatter.format(record) + "\n")


class LibraryHandler(logging.Handler):
    """Forwards log records of libraries to a journal."""

    def __init__(self, log: Journal):
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record, with the traceback of its exception if it has one."""
        detail = record.getMessage()
        if record.exc_info:
            detail += "\n" + logging.Formatter().formatException(
                record.exc_info
            )
        self._log.log_call(
            "library", logger=record.name, detail=detail[:MAX_DETAIL_CHARS]
        )


def capture_library_logs(log: Journal) -> None:
    """Redirects warnings and errors that libraries log to a journal."""
    root = logging.getLogger()
    root.handlers = [LibraryHandler(log)]
    root.setLevel(logging.WARNING)
