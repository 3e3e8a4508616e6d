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
        number: Tells the life from others of the target.
        ended_at: When the process ended, in monotonic seconds.
        events: What it recorded, in order.
    """

    name: str
    number: int
    ended_at: float
    events: list[records.Event]

    def __str__(self) -> str:
        return f"{self.name}#{self.number}"


@dataclasses.dataclass(slots=True)
class Hold:
    """A period in which a life held a bucket of keys without a break.

    Attributes:
        life: The holder.
        fence: Fence of its latest grant.
        start: When it took the first grant.
        end: When it released the bucket, or its last grant expired, or the
            process ended.
        until: When its last grant would have expired.
        used_at: When it began calls on the bucket.
        is_excused: Whether its sender was frozen or its link cut just before
            the first grant arrived.
        is_taken_late: Whether the life itself was frozen just before that.
    """

    life: Life
    fence: int
    start: float
    end: float
    until: float
    used_at: list[float]
    is_excused: bool
    is_taken_late: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Taking:
    """A bucket that a life took with a grant."""

    at: float
    life: Life
    fence: int
    is_excused: bool
    is_taken_late: bool


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
        self._holds: dict[int, list[Hold]] = collections.defaultdict(list)
        self._takings: dict[int, list[_Taking]] = collections.defaultdict(list)
        self._runs: dict[int, list[tuple[Life, float, float]]] = (
            collections.defaultdict(list)
        )

    def run(self) -> None:
        """Adds a finding for each rule that is broken on a range of keys."""
        for life in self._lives:
            self._add_life(life)
        findings: dict[tuple, list[int]] = collections.defaultdict(list)
        for bucket in sorted(self._takings):
            for at, detail in self._check_bucket(bucket):
                findings[(round(at, 2), detail)].append(bucket)
        for (at, detail), buckets in findings.items():
            self._observed.add_finding(
                observations.Rule.OWNER,
                at,
                f"{detail}: buckets {buckets[0]} to {buckets[-1]}",
            )

    def _add_life(self, life: Life) -> None:
        current: dict[int, Hold] = {}
        runs: dict[str, tuple[int, float]] = {}
        for event in life.events:
            if isinstance(event, records.Granted):
                self._add_grant(life, event, current)
            elif isinstance(event, records.Released):
                for bucket in range(event.first, event.last + 1):
                    hold = current.get(bucket)
                    if hold is not None and hold.fence < event.fence:
                        hold.end = min(hold.end, event.at)
            elif isinstance(event, records.Arrival) and event.ran:
                runs[event.call_id] = (event.bucket, event.at)
                hold = current.get(event.bucket)
                if hold is not None and event.at < hold.end:
                    hold.used_at.append(event.at)
            elif isinstance(event, records.Ended) and event.call_id in runs:
                bucket, start = runs.pop(event.call_id)
                self._runs[bucket].append((life, start, event.at))
        for bucket, start in runs.values():
            self._runs[bucket].append((life, start, life.ended_at))

    def _add_grant(
        self, life: Life, grant: records.Granted, current: dict[int, Hold]
    ) -> None:
        observed = self._observed
        is_excused = observed.has_just_ended(
            HELD_UP_KINDS, observed.node_names, grant.at, THAW_SECONDS
        ) or observed.has_just_ended(
            {"cut"}, {life.name}, grant.at, THAW_SECONDS
        )
        is_taken_late = observed.has_just_ended(
            {"freeze"}, {life.name}, grant.at, THAW_SECONDS
        )
        until = max(grant.at, grant.until)
        for bucket in range(grant.first, grant.last + 1):
            self._takings[bucket].append(
                _Taking(grant.at, life, grant.fence, is_excused, is_taken_late)
            )
            hold = current.get(bucket)
            if hold is None or hold.end < grant.at:
                hold = Hold(
                    life,
                    0,
                    grant.at,
                    0.0,
                    0.0,
                    [],
                    is_excused,
                    is_taken_late,
                )
                current[bucket] = hold
                self._holds[bucket].append(hold)
            hold.fence = grant.fence
            hold.until = max(hold.until, until)
            hold.end = min(until, life.ended_at)

    def _check_bucket(self, bucket: int):
        yield from self._check_fences(bucket)
        holds = sorted(self._holds[bucket], key=lambda hold: hold.start)
        for index, one in enumerate(holds):
            for other in holds[index + 1 :]:
                if other.start >= one.end:
                    continue
                if other.life is not one.life:
                    yield from _check_pair(one, other)
        yield from self._check_work(bucket)

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
        for life, start, end in self._runs[bucket]:
            holds = [h for h in self._holds[bucket] if h.life is life]
            hold = max(
                (h for h in holds if h.start <= start),
                key=lambda h: h.start,
                default=None,
            )
            if hold is None:
                continue
            for taking in self._takings[bucket]:
                if taking.life is life:
                    continue
                if taking.is_excused or taking.is_taken_late:
                    continue
                if start < taking.at < min(end, hold.until, life.ended_at):
                    yield (
                        taking.at,
                        f"{taking.life} took fence {taking.fence} while {life} "
                        f"was still at work under {hold.fence}",
                    )
                    break


def _check_pair(one: Hold, other: Hold):
    start, end = other.start, min(one.end, other.end)
    names = f"{one.life} under {one.fence} and {other.life} under {other.fence}"
    if one.is_excused or other.is_excused:
        return
    is_taken_late = one.is_taken_late or other.is_taken_late
    if end - start > MAX_SHARED_SECONDS and not is_taken_late:
        yield start, f"{names} held keys for {end - start:.2f} s"
    if _is_used(one, start, end) and _is_used(other, start, end):
        yield start, f"{names} held and used keys for {end - start:.3f} s"


def _is_used(hold: Hold, start: float, end: float) -> bool:
    """Returns whether calls began in a period."""
    index = bisect.bisect_left(hold.used_at, start)
    return index < len(hold.used_at) and hold.used_at[index] <= end
