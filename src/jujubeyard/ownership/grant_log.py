"""Logs and counts the grants that a leader sends, many in one line.

A leader sends far more grants than there may be lines. The grants that have
ended are collected and written about once a second.
"""

import dataclasses
import typing

from jujubeyard.ownership import evidence
from jujubeyard.ownership import leader
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import revisions

FLUSH_SECONDS = 1.0
"""Minimum time between two lines, except at the end of a term."""

MAX_ROWS_PER_LINE = 200
MAX_WAITING_RECORDS = 600
"""Number of grants that wait for the next lines; further ones are left out."""

TERM_ENDED = "term ended"
"""Outcome of a grant that had no answer when the term ended."""

FAILED = "failed"
"""Outcome of a grant whose sending ended with an unexpected error."""

COLUMNS = (
    "first",
    "last",
    "owner",
    "fence",
    "seconds",
    "sent_at",
    "ended_at",
    "outcome",
)
"""Columns of the rows. The owner is an index into the `owners` of the line."""

TIME_DIGITS = 3


class Meter(typing.Protocol):
    """Metrics of grants and holds."""

    def count_grant(
        self, service: str, outcome: str, answer_seconds: float | None
    ) -> None:
        """Counts a grant that has ended.

        Args:
            service: Name of the service.
            outcome: Its outcome.
            answer_seconds: Time until its answer; None if there was none.
        """

    def count_hold_end(self, service: str, proof: evidence.Evidence) -> None:
        """Counts a hold that has ended.

        Args:
            service: Name of the service.
            proof: What proves its end.
        """


@dataclasses.dataclass(slots=True)
class GrantRecord:
    """A grant that was sent. Times are boot time (`clock.boottime`).

    Attributes:
        request: The request.
        sent_at: When it was sent; its hold is reckoned from this time.
        ended_at: When it was answered or given up; 0.0 before.
        outcome: Value of a `target_requests.Outcome`, or why it was given up.
    """

    request: target_requests.GrantRequest
    sent_at: float
    ended_at: float = 0.0
    outcome: str = ""

    def to_row(self, owner_index: int) -> tuple:
        """Returns the values of `COLUMNS`."""
        request = self.request
        return (
            request.first,
            request.last,
            owner_index,
            request.fence,
            round(request.hold_seconds, TIME_DIGITS),
            round(self.sent_at, TIME_DIGITS),
            round(self.ended_at, TIME_DIGITS),
            self.outcome,
        )


class GrantLog:
    """The log of the grants of one service during one term."""

    def __init__(
        self, service: str, term: int, log: leader.Journal, meter: Meter
    ):
        """Initializes a log without grants.

        Args:
            service: Name of the service.
            term: Number of the term.
            log: Log to write to.
            meter: Metrics to count in.
        """
        self._service = service
        self._term = term
        self._log = log
        self._meter = meter
        self._open: dict[int, GrantRecord] = {}
        self._ended: list[GrantRecord] = []
        self._left_out = 0
        self._next_flush_at = 0.0

    def start(self, request: target_requests.GrantRequest, now: float) -> None:
        """Records that a grant is sent."""
        self._open[request.fence] = GrantRecord(request, now)

    def end(
        self, fence: int, outcome: str, now: float, is_answered: bool = False
    ) -> None:
        """Records that a grant was answered or given up.

        Does nothing after `close`.

        Args:
            fence: Fence of the grant.
            outcome: Its outcome.
            now: Boot time.
            is_answered: Whether the target replied.
        """
        record = self._open.pop(fence, None)
        if record is None:
            return
        record.ended_at, record.outcome = now, outcome
        seconds = now - record.sent_at if is_answered else None
        self._meter.count_grant(self._service, outcome, seconds)
        if len(self._ended) < MAX_WAITING_RECORDS:
            self._ended.append(record)
        else:
            self._left_out += 1

    def flush(self, now: float) -> None:
        """Writes a line if there are grants and the latest line is old."""
        if now >= self._next_flush_at and self._ended:
            self._next_flush_at = now + FLUSH_SECONDS
            self._write_line()

    def close(self, now: float) -> None:
        """Writes all grants at the end of a term, the unanswered ones too."""
        for fence in list(self._open):
            self.end(fence, TERM_ENDED, now)
        while self._ended:
            self._write_line()

    def _write_line(self) -> None:
        records = self._ended[:MAX_ROWS_PER_LINE]
        del self._ended[:MAX_ROWS_PER_LINE]
        indexes: dict[table.Owner, int] = {}
        rows = [
            record.to_row(
                indexes.setdefault(record.request.target, len(indexes))
            )
            for record in records
        ]
        self._log.log_event(
            "grants",
            service=self._service,
            term=revisions.describe(self._term),
            owners=[
                (owner.target_id, owner.born, owner.address)
                for owner in indexes
            ],
            columns=COLUMNS,
            rows=rows,
            unanswered=len(self._open),
            left_out=self._left_out,
        )
        self._left_out = 0
