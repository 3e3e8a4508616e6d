"""Lets calls wait at the node until a target has room for them."""

import asyncio
import dataclasses
import math
import time

from jujubeyard import bodies
from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import body_stream
from jujubeyard.node import calls
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import selection
from jujubeyard.routing import config
from jujubeyard.scheduling import lanes
from jujubeyard.scheduling import shares
from jujubeyard.scheduling import waiting
from jujubeyard.targets import registry

CHECK_INTERVAL_SECONDS = 0.05
"""Longest time until waiting calls notice room of which nothing told them, as
by a load report of another node or a new target."""

CHECK_MARGIN_SECONDS = 0.001
"""Time after a call's latest start at which it is checked."""

MAX_WAITING_CALLS = 512
"""Calls that may wait at the node."""

MAX_WAITING_BYTES = 8 * bodies.MIB
"""Memory for the bodies of waiting calls from which on further calls displace
others."""

MAX_QUEUES = 1000
"""Number of queues from which on empty ones are dropped."""

MAX_POOLED_TRIES = 3
"""Calls that try in vain at all targets of a service until further ones wait
for the next news of room. Each try compares a random sample of the targets."""

GRANTED = "granted"
NO_TARGET = "no target"
LEFT = "caller left"
MOVED = "key moved"

REFUSAL_CODES = {
    waiting.Reason.TOO_LATE: codes.ResultCode.DEADLINE_UNREACHABLE,
    waiting.Reason.DISPLACED: codes.ResultCode.OVERLOADED,
    waiting.Reason.FULL: codes.ResultCode.OVERLOADED,
    waiting.Reason.SHUTDOWN: codes.ResultCode.SHUTTING_DOWN,
}


@dataclasses.dataclass(eq=False, slots=True)
class _Place:
    """A waiting call's place in its queue.

    Attributes:
        state: The call.
        waiter: The call, as its queue knows it.
        body_bytes: Memory that its body needs.
        turn: Set when the call may try, is refused or has moved.
        has_moved: Whether its key has another owner than the queue, or none.
        refusal: Why the call is refused, if it is.
    """

    state: attempts.CallState
    waiter: lanes.Waiter
    body_bytes: int
    turn: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    has_moved: bool = False
    refusal: waiting.Refusal | None = None


class _Line:
    """A queue with the places of its calls.

    Attributes:
        owner: ID of the target that the calls wait for; empty if any will do.
        queue: Decides about the calls.
        places: Places of the waiting calls.
        trying: The call whose turn it is.
        tried_routes: Routes whose calls have found no room since the latest
            news of room.
        lacking: Number of calls that no target has had room for since then,
            whatever their route is.
    """

    def __init__(self, owner: str, queue: waiting.WaitingQueue):
        self.owner = owner
        self.queue = queue
        self.places: dict[lanes.Waiter, _Place] = {}
        self.trying: lanes.Waiter | None = None
        self.tried_routes: set[str] = set()
        self.lacking = 0

    def offer_anew(self, now: float) -> None:
        """Lets calls of all routes try again, as there may be room now."""
        self.tried_routes.clear()
        self.lacking = 0
        self.offer(now)

    def offer(self, now: float) -> None:
        """Gives the first call its turn, unless another one is trying."""
        if self.trying is not None:
            return
        if not self.owner and self.lacking >= MAX_POOLED_TRIES:
            return
        for waiter in self.queue.turns(now):
            if waiter.route in self.tried_routes:
                continue
            self.trying = waiter
            self.places[waiter].turn.set()
            return

    def waiting_bytes(self) -> int:
        """Returns how much memory the bodies of its calls need."""
        return sum(
            place.body_bytes
            for place in self.places.values()
            if place.refusal is None
        )

    def refuse(self, refusals: list[waiting.Refusal]) -> None:
        """Tells waiting calls that they are refused."""
        for refusal in refusals:
            place = self.places[refusal.waiter]
            place.refusal = refusal
            place.turn.set()


class WaitingRoom:
    """Selects targets, and lets calls wait that find no room.

    Calls wait only for services whose routes differ in priority.
    """

    def __init__(
        self,
        view: cluster_view.ClusterView,
        selector: selection.TargetSelector,
        owner_lookup: owners.OwnerLookup,
        metric_set: metrics.Metrics,
        log: journal.Journal,
    ):
        """Initializes the waiting room.

        Args:
            view: Routes and targets.
            selector: Selects the targets.
            owner_lookup: Finds the owners of keys.
            metric_set: Counts waiting calls.
            log: Log of calls that have waited.
        """
        self._view = view
        self._selector = selector
        self._owner_lookup = owner_lookup
        self._metrics = metric_set
        self._log = log
        self._lines: dict[tuple[str, str], _Line] = {}
        self._shares: dict[str, shares.RouteShares] = {}
        self._configuration: config.Configuration | None = None
        self._urgencies: dict[str, list[int]] = {}
        self._waiting_calls = 0
        self._waiting_bytes = 0
        self._check: asyncio.TimerHandle | None = None
        self._is_closed = False

    async def select(self, state: attempts.CallState) -> registry.Target | None:
        """Returns the target for the next attempt at a call, once it has room.

        Args:
            state: The call; if it gets no target, its latest code and the time
                until a retry say why.
        """
        service = state.service.name
        state.may_wait = (
            not self._is_closed
            and not state.may_have_run
            and self._acts_for(service)
        )
        state.lacks_room = False
        if not state.may_wait:
            return await self._selector.select(state)
        line = await self._find_line(state)
        if line is None:
            return None
        waiter = self._make_waiter(state, time.monotonic())
        if not state.tried_targets:
            self._shares[service].observe_arrival(waiter.route)
            self._selector.queue_bounds.observe(
                service, state.route.urgency, state.route.objective
            )
        while line is not None:
            state.rank = self._rank(state)
            now = time.monotonic()
            if self._is_closed or line.queue.goes_first(waiter, now):
                target = await self._selector.select(state)
                if target is not None:
                    line.queue.grant(waiter, time.monotonic())
                    return target
                if not state.lacks_room:
                    return None
                line = await self._find_line(state)
                if line is None or self._is_closed:
                    return None
            target, outcome = await self._wait(state, line, waiter)
            if outcome != MOVED:
                return target
            line = await self._find_line(state)
        return None

    def tell_of_room(self, service: str, target_id: str) -> None:
        """Lets waiting calls try again, as a call at a target has ended.

        Args:
            service: Name of the service.
            target_id: ID of the target.
        """
        now = time.monotonic()
        for owner in ("", target_id):
            line = self._lines.get((service, owner))
            if line is not None and line.places:
                line.offer_anew(now)

    def close(self) -> None:
        """Refuses all waiting calls, and lets none wait from now on."""
        self._is_closed = True
        now = time.monotonic()
        for line in self._lines.values():
            line.refuse(line.queue.take_all(now))

    def _acts_for(self, service: str) -> bool:
        """Returns whether calls of a service may wait."""
        if self._view.routes is None:
            return False
        configuration = self._view.routes.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._urgencies = waiting.find_priorities(configuration)
            self._selector.queue_bounds.retain(self._urgencies)
        return len(self._urgencies.get(service, ())) > 1

    def _rank(self, state: attempts.CallState) -> int:
        """Returns how many priorities go before a call's.

        None does if the call's route is owed room.
        """
        service = state.service.name
        owed = self._shares[service].owed_routes(time.monotonic())
        if state.route.name in owed:
            return 0
        urgencies = self._urgencies.get(service, [])
        return sum(urgency < state.route.urgency for urgency in urgencies)

    def _owner(self, state: attempts.CallState) -> str:
        """Returns the owner that a call waits for; empty if any target will do.

        It is also empty if the call's key has no owner at the moment.
        """
        if not state.is_keyed:
            return ""
        return self._owner_lookup.current_owner_id(state)

    async def _find_line(self, state: attempts.CallState) -> _Line | None:
        """Returns the queue of a call; None if its key gets no owner in time.

        The time until the key has an owner is spent outside any queue.
        """
        owner = ""
        if state.is_keyed:
            target = await self._owner_lookup.find_owner(state)
            if target is None:
                return None
            owner = target.listing.target_id
        return self._line(state.service.name, owner)

    def _line(self, service: str, owner: str) -> _Line:
        line = self._lines.get((service, owner))
        if line is None:
            if len(self._lines) >= MAX_QUEUES:
                self._drop_empty_lines()
            route_shares = self._shares.setdefault(
                service, shares.RouteShares(time.monotonic())
            )
            line = _Line(owner, waiting.WaitingQueue(route_shares))
            self._lines[service, owner] = line
        return line

    def _drop_empty_lines(self) -> None:
        self._lines = {
            name: line for name, line in self._lines.items() if line.places
        }

    def _make_waiter(
        self, state: attempts.CallState, now: float
    ) -> lanes.Waiter:
        call = state.call
        return lanes.make_waiter(
            state.route,
            f"{call.method} {call.host}{call.path} {call.key}",
            call.received_at,
            state.deadline,
            self._work_seconds(state),
            now,
        )

    def _work_seconds(self, state: attempts.CallState) -> float:
        """Returns the usual work of calls of a call's route, in seconds."""
        return self._selector.route_work.relative_work(
            state.service.name, state.route.name, 1.0
        )

    def _lacks_for_all(self, state: attempts.CallState) -> bool:
        """Returns whether less urgent calls lack room where a call lacks it.

        They may have room if the call lacked it for another reason than the
        bound on queues: its time, targets that it has tried or a limit that
        the service's targets have shown.
        """
        if state.tried_targets:
            return False
        now = time.monotonic()
        service = state.service.name
        for target in self._view.registry.service_targets(service)[:1]:
            if target.load.room.limit.current(now) is not None:
                return False
        work_seconds = self._work_seconds(state)
        bound_seconds = self._selector.queue_bounds.seconds(
            service, state.rank, work_seconds
        )
        needed_seconds = bound_seconds + lanes.WORK_MARGIN * work_seconds
        return state.remaining_seconds() > needed_seconds

    async def _wait(
        self,
        state: attempts.CallState,
        line: _Line,
        waiter: lanes.Waiter,
    ) -> tuple[registry.Target | None, str]:
        """Returns a target once the call has had its turn and found room.

        Returns:
            The target, if there is one, and how the wait has ended.
        """
        waiter.joined_at = time.monotonic()
        ahead = line.queue.ahead_by_route(waiter, waiter.joined_at)
        place = self._join(state, line, waiter)
        outcome = LEFT
        try:
            while True:
                await place.turn.wait()
                place.turn.clear()
                if place.refusal is not None:
                    outcome = place.refusal.reason.value
                    state.latest_code = REFUSAL_CODES[place.refusal.reason]
                    state.retry_after = place.refusal.retry_after
                    return None, outcome
                if place.has_moved or self._owner(state) != line.owner:
                    outcome = MOVED
                    return None, outcome
                state.rank = self._rank(state)
                target = await self._selector.select(state)
                if target is not None:
                    outcome = GRANTED
                    return target, outcome
                if not state.lacks_room:
                    outcome = NO_TARGET
                    return None, outcome
                line.lacking += self._lacks_for_all(state)
                self._end_turn(line, waiter)
        finally:
            self._leave(state, line, place, outcome)
            self._log_wait(state, line.owner, waiter, outcome, ahead)

    def _join(
        self,
        state: attempts.CallState,
        line: _Line,
        waiter: lanes.Waiter,
    ) -> _Place:
        """Returns the call's place; it may be refused there at once."""
        place = _Place(state, waiter, _held_bytes(state.call))
        line.places[waiter] = place
        self._waiting_calls += 1
        self._waiting_bytes += place.body_bytes
        self._metrics.add_waiting(state.service.name, waiter.urgency, 1)
        now = waiter.joined_at
        refusals = line.queue.join(waiter, now)
        line.refuse(refusals)
        is_full = (
            self._waiting_calls > MAX_WAITING_CALLS
            or self._waiting_bytes > MAX_WAITING_BYTES
        )
        if is_full and not refusals:
            crowded = self._find_crowded_line()
            crowded.refuse([crowded.queue.displace(waiter, now)])
        self._schedule_check()
        return place

    def _find_crowded_line(self) -> _Line:
        """Returns the queue that gives way as too many calls wait at the node.

        It is that with the least urgent calls, of those with at least an equal
        share of the calls, or of the bodies if they are too large.
        """
        by_bytes = self._waiting_bytes > MAX_WAITING_BYTES
        sizes = {
            line: line.waiting_bytes() if by_bytes else len(line.queue)
            for line in self._lines.values()
            if len(line.queue)
        }
        equal_share = sum(sizes.values()) / len(sizes)
        return max(
            (line for line, size in sizes.items() if size >= equal_share),
            key=lambda line: (line.queue.expendability(), sizes[line]),
        )

    def _end_turn(self, line: _Line, waiter: lanes.Waiter) -> None:
        """Records that a call has found no room, and lets the next one try."""
        line.tried_routes.add(waiter.route)
        if line.trying is waiter:
            line.trying = None
        line.offer(time.monotonic())

    def _leave(
        self,
        state: attempts.CallState,
        line: _Line,
        place: _Place,
        outcome: str,
    ) -> None:
        """Removes a call that doesn't wait any more."""
        now = time.monotonic()
        waiter = place.waiter
        if outcome == GRANTED:
            line.queue.grant(waiter, now)
        else:
            line.queue.leave(waiter, now)
        del line.places[waiter]
        self._waiting_calls -= 1
        self._waiting_bytes -= place.body_bytes
        if line.trying is waiter:
            line.trying = None
            line.offer(now)
        self._metrics.add_waiting(state.service.name, waiter.urgency, -1)

    def _log_wait(
        self,
        state: attempts.CallState,
        owner: str,
        waiter: lanes.Waiter,
        outcome: str,
        ahead: dict[str, int],
    ) -> None:
        """Counts and logs how a call's wait ended.

        Args:
            state: The call.
            owner: The target that it waited for; empty if any would do.
            waiter: The call, as its queue knew it.
            outcome: How its wait ended.
            ahead: Number of calls that went before it, by route.
        """
        seconds = time.monotonic() - waiter.joined_at
        service = state.service.name
        self._metrics.observe_wait(service, outcome, seconds)
        self._log.log_call(
            "call waited for room",
            call=state.call.call_id,
            service=service,
            route=waiter.route,
            urgency=waiter.urgency,
            owner=owner,
            seconds=round(seconds, 4),
            ahead=ahead,
            **_describe_lack(state.lack),
            outcome=outcome,
            retry_after=round(state.retry_after, 3),
        )

    def _schedule_check(self) -> None:
        """Lets a check come soon, at the next latest start of a call if any."""
        if self._check is not None:
            return
        now = time.monotonic()
        next_start_by = min(
            (
                place.waiter.start_by
                for line in self._lines.values()
                for place in line.places.values()
                if place.waiter.start_by > now
            ),
            default=math.inf,
        )
        self._check = asyncio.get_running_loop().call_later(
            min(
                CHECK_INTERVAL_SECONDS,
                next_start_by - now + CHECK_MARGIN_SECONDS,
            ),
            self._check_lines,
        )

    def _check_lines(self) -> None:
        """Refuses calls that won't get room in time, and lets others try."""
        self._check = None
        now = time.monotonic()
        for line in self._lines.values():
            if not line.places:
                continue
            self._take_moved(line, now)
            line.refuse(line.queue.take_hopeless(now))
            line.offer_anew(now)
        if self._waiting_calls:
            self._schedule_check()

    def _take_moved(self, line: _Line, now: float) -> None:
        """Takes the calls out of a queue whose keys have another owner now."""
        if not line.owner:
            return
        for place in line.places.values():
            if self._owner(place.state) != line.owner:
                line.queue.leave(place.waiter, now)
                place.has_moved = True
                place.turn.set()


def _held_bytes(call: calls.Call) -> int:
    """Returns how much memory the body of a waiting call needs at most."""
    if call.stream is None:
        return call.body_bytes()
    held_bytes = body_stream.WHOLE_BODY_BYTES + body_stream.STREAM_BYTES
    return min(call.body_bytes(), held_bytes)


def _describe_lack(lack: attempts.LackOfRoom | None) -> dict:
    """Returns the fields of a log line on why a target had no room."""
    if lack is None:
        return {}
    return {
        "target": lack.target_id,
        "expected": round(lack.expected_seconds, 3),
        "bound": round(lack.bound_seconds, 3),
        "report_age": round(lack.report_age_seconds, 3),
    }
