"""Measures the processor time and the size of the log of grants.

Prints the time per grant, including its share of a line and of the metrics, and
the size of a line. The time is the median over lines.
"""

import os
import statistics
import time

import fire

from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.ownership import grant_log
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests

GRANTS_PER_LINE = 150
TARGETS = 31
TERM = 5123
FENCES_PER_TERM = 1 << 20
MICROSECONDS_PER_SECOND = 1e6


class CountingWriter(journal.NonBlockingWriter):
    """A writer that counts the bytes of its lines.

    Attributes:
        total_bytes: Their number.
    """

    total_bytes = 0

    def write(self, line: str) -> None:
        """Writes a line."""
        self.total_bytes += len(line.encode())
        super().write(line)


def _make_requests() -> list[target_requests.GrantRequest]:
    owners = [
        table.Owner(f"i-{number:010x}", number, f"10.0.{number}.5:8080")
        for number in range(TARGETS)
    ]
    return [
        target_requests.GrantRequest(
            owners[number % TARGETS],
            number * 128,
            number * 128 + 127,
            TERM * FENCES_PER_TERM + number,
            3.51,
            "",
            0.0,
        )
        for number in range(GRANTS_PER_LINE)
    ]


def main(lines: int = 400) -> None:
    """Prints the costs.

    Args:
        lines: Number of lines that are written.
    """
    writer = CountingWriter(os.open(os.devnull, os.O_WRONLY))
    log = journal.Journal(writer, "node-1")
    grants = grant_log.GrantLog("desk", TERM, log, metrics.Metrics())
    requests, times = _make_requests(), []
    for number in range(lines):
        now = 1000.0 + 2.0 * number
        started_at = time.process_time()
        for request in requests:
            grants.start(request, now)
            grants.end(request.fence, "done", now + 0.0123, is_answered=True)
        grants.flush(now + grant_log.FLUSH_SECONDS)
        times.append(time.process_time() - started_at)
    seconds = statistics.median(times) / GRANTS_PER_LINE
    print(f"{seconds * MICROSECONDS_PER_SECOND:.1f} us per grant")
    print(f"{writer.total_bytes / lines:.0f} bytes per line")


if __name__ == "__main__":
    fire.Fire(main)
