"""Checks who held keys, from the records of all targets.

A life is one process of a target. Each life is a holder of its own.
"""

import bisect
import collections
import collections.abc
import dataclasses

from platform_standins import records
from soak import observations

MAX_SHARED_SECONDS = 0.5
"""Longest time for which two holders may have a key that neither uses."""

THAW_SECONDS = 0.3
"""How long after a freeze or a cut has ended grants may still arrive that were
sent before."""

HELD_UP_KINDS = frozenset({"freeze", "cut"})
"""Kinds of disruptions at whose end grants arrive that were sent before."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Life:
    """One process of a target, and what it recorded.

    Attributes:
        name: Name of the target.
        record: Name of its record, which tells it from other lives.
        ended_at: When the process ended, in monotonic seconds.
        events: What it recorded, in order.
    """

    name: str
    record: str
    ended_at: float
    events: list[records.Event]

    def __str__(self) -> str:
        return self.record


@dataclasses.dataclass(slots=True)
class Hold:
    """A period in which a life held a bucket of keys without a break.

    Attributes:
        life: The holder.
        fence: Fence of its latest grant.
        start: When it took the first grant that counts.
        end: When it released the bucket, or its last grant expired, or the
            process ended.
        until: When its last grant would have expired.
        used_at: When it began calls on the bucket.
    """

    life: Life
    fence: int
    start: float
    end: float
    until: float
    used_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Taking:
    """A bucket that a life took with a grant."""

    at: float
    life: Life
    fence: int
    is_excused: bool
    is_taken_late: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A call that a life processed."""

    life: Life
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class _Span:
    """A time in which two lives held the same keys.

    Attributes:
        holds: Their holds.
        start: When it began.
        end: When it ended.
        users: The lives that began calls on such keys in that time.
        buckets: The keys.
    """

    holds: tuple[Hold, Hold]
    start: float
    end: float
    users: set[Life]
    buckets: list[int]

    def __str__(self) -> str:
        one, other = self.holds
        return (
            f"{one.life} under {one.fence} and {other.life} under {other.fence}"
        )


class _Holds:
    """The holds of all lives by bucket, from the grants that count.

    A grant that doesn't count neither begins nor extends a hold; it may shorten
    one, since a target keeps its latest grant only.
    """

    def __init__(self):
        self.by_bucket: dict[int, list[Hold]] = collections.defaultdict(list)
        self._latest: dict[tuple[Life, int], Hold] = {}

    def add_grant(
        self, life: Life, grant: records.Granted, counts: bool
    ) -> None:
        until = max(grant.at, grant.until)
        for bucket in range(grant.first, grant.last + 1):
            hold = self._latest.get((life, bucket))
            if hold is None or hold.end < grant.at:
                if not counts:
                    continue
                hold = Hold(life, 0, grant.at, 0.0, 0.0)
                self._latest[life, bucket] = hold
                self.by_bucket[bucket].append(hold)
            hold.fence = grant.fence
            hold.until = until if counts else min(hold.until, until)
            hold.end = min(hold.until, life.ended_at)

    def release(self, life: Life, release: records.Released) -> None:
        for bucket in range(release.first, release.last + 1):
            hold = self._latest.get((life, bucket))
            if hold is not None and hold.fence < release.fence:
                hold.end = min(hold.end, release.at)

    def use(self, life: Life, bucket: int, at: float) -> None:
        hold = self._latest.get((life, bucket))
        if hold is not None:
            hold.used_at.append(at)

    def find_spans(self, bucket: int) -> collections.abc.Iterator[_Span]:
        """Yields when two lives held a bucket."""
        holds = sorted(self.by_bucket[bucket], key=lambda hold: hold.start)
        for index, one in enumerate(holds):
            for other in holds[index + 1 :]:
                start, end = other.start, min(one.end, other.end)
                if start >= end or other.life is one.life:
                    continue
                users = {
                    hold.life
                    for hold in (one, other)
                    if _is_used(hold, start, end)
                }
                yield _Span((one, other), start, end, users, [bucket])


class OwnershipCheck:
    """Finds keys that two lives had at the same time."""

    def __init__(
        self,
        lives: collections.abc.Sequence[Life],
        observed: observations.Observations,
    ):
        """Initializes a check.

        Args:
            lives: All lives of all targets of one service.
            observed: Disruptions; findings are added to it.
        """
        self._lives = lives
        self._observed = observed
        self._used_holds = _Holds()
        self._prompt_holds = _Holds()
        self._takings: dict[int, list[_Taking]] = collections.defaultdict(list)
        self._runs: dict[int, list[_Run]] = collections.defaultdict(list)

    def run(self) -> None:
        """Adds a finding for each rule that is broken on a range of keys."""
        for life in self._lives:
            self._add_life(life)
        findings: dict[tuple, list[int]] = collections.defaultdict(list)
        for bucket in sorted(self._takings):
            for at, detail in self._check_bucket(bucket):
                findings[(round(at, 2), detail)].append(bucket)
        for span in self._find_used_spans():
            seconds = span.end - span.start
            detail = f"{span} held and used keys for {seconds:.3f} s"
            findings[(round(span.start, 2), detail)] += sorted(span.buckets)
        for (at, detail), buckets in findings.items():
            self._observed.add_finding(
                observations.Rule.OWNER,
                at,
                f"{detail}: buckets {buckets[0]} to {buckets[-1]}",
            )

    def _add_life(self, life: Life) -> None:
        runs: dict[str, tuple[int, float]] = {}
        for event in life.events:
            if isinstance(event, records.Granted):
                self._add_grant(life, event)
            elif isinstance(event, records.Released):
                self._used_holds.release(life, event)
                self._prompt_holds.release(life, event)
            elif isinstance(event, records.Arrival) and event.ran:
                runs[event.call_id] = (event.bucket, event.at)
                self._used_holds.use(life, event.bucket, event.at)
            elif isinstance(event, records.Ended) and event.call_id in runs:
                bucket, start = runs.pop(event.call_id)
                self._runs[bucket].append(_Run(life, start, event.at))
        for bucket, start in runs.values():
            self._runs[bucket].append(_Run(life, start, life.ended_at))

    def _add_grant(self, life: Life, grant: records.Granted) -> None:
        observed = self._observed
        is_excused = observed.has_just_ended(
            HELD_UP_KINDS, observed.node_names, grant.at, THAW_SECONDS
        ) or observed.has_just_ended(
            {"cut"}, {life.name}, grant.at, THAW_SECONDS
        )
        is_taken_late = observed.has_just_ended(
            {"freeze"}, {life.name}, grant.at, THAW_SECONDS
        )
        for bucket in range(grant.first, grant.last + 1):
            self._takings[bucket].append(
                _Taking(grant.at, life, grant.fence, is_excused, is_taken_late)
            )
        self._used_holds.add_grant(life, grant, not is_excused)
        self._prompt_holds.add_grant(
            life, grant, not is_excused and not is_taken_late
        )

    def _check_bucket(self, bucket: int):
        yield from self._check_fences(bucket)
        for span in self._prompt_holds.find_spans(bucket):
            seconds = span.end - span.start
            if seconds > MAX_SHARED_SECONDS:
                yield span.start, f"{span} held keys for {seconds:.2f} s"
        yield from self._check_work(bucket)

    def _find_used_spans(self) -> collections.abc.Iterator[_Span]:
        """Yields when two lives held the same keys, and both used some."""
        by_lives: dict[frozenset, list[_Span]] = collections.defaultdict(list)
        for bucket in sorted(self._used_holds.by_bucket):
            for span in self._used_holds.find_spans(bucket):
                lives = frozenset(hold.life for hold in span.holds)
                by_lives[lives].append(span)
        for spans in by_lives.values():
            for span in _merge(spans):
                if len(span.users) > 1:
                    yield span

    def _check_fences(self, bucket: int):
        highest: dict[Life, int] = {}
        for taking in sorted(self._takings[bucket], key=lambda t: t.at):
            others = [
                (fence, life)
                for life, fence in highest.items()
                if life is not taking.life
            ]
            best = max(others, key=lambda pair: pair[0], default=None)
            if best and best[0] >= taking.fence and not taking.is_excused:
                yield (
                    taking.at,
                    f"{taking.life} took fence {taking.fence}, but {best[1]} "
                    f"had {best[0]}",
                )
            highest[taking.life] = max(
                highest.get(taking.life, 0), taking.fence
            )

    def _check_work(self, bucket: int):
        for run in self._runs[bucket]:
            holds = [
                hold
                for hold in self._prompt_holds.by_bucket[bucket]
                if hold.life is run.life and hold.start <= run.start < hold.end
            ]
            if not holds:
                continue
            end = min(run.end, holds[-1].until, run.life.ended_at)
            for taking in self._takings[bucket]:
                if taking.is_excused or taking.is_taken_late:
                    continue
                is_other = taking.life is not run.life
                if is_other and run.start < taking.at < end:
                    yield (
                        taking.at,
                        f"{taking.life} took fence {taking.fence} while "
                        f"{run.life} was still at work under {holds[-1].fence}",
                    )
                    break


def _merge(spans: list[_Span]) -> list[_Span]:
    """Returns spans of the same lives, joined where they overlap."""
    merged: list[_Span] = []
    for span in sorted(spans, key=lambda each: each.start):
        if merged and span.start < merged[-1].end:
            merged[-1].end = max(merged[-1].end, span.end)
            merged[-1].users |= span.users
            merged[-1].buckets += span.buckets
        else:
            merged.append(span)
    return merged


def _is_used(hold: Hold, start: float, end: float) -> bool:
    """Returns whether calls began in a period."""
    index = bisect.bisect_left(hold.used_at, start)
    return index < len(hold.used_at) and hold.used_at[index] <= end
