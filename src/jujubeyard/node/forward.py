"""The path of a call: route, owner or choice, admission, target, answer."""

import collections.abc
import dataclasses
import random
import time

from jujubeyard import codes
from jujubeyard.node import calls
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import protocol
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.node import view
from jujubeyard.routing import admission
from jujubeyard.routing import choice
from jujubeyard.routing import coldstart
from jujubeyard.routing import config
from jujubeyard.routing import retries
from jujubeyard.routing import split
from jujubeyard.targets import loads
from jujubeyard.targets import registry

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection only."""

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a call has not run."""

SERVER_ERROR = 500
HTTP_MISDIRECTED = 421
MIN_LEFT_SECONDS = 0.03
"""Time left below which a call isn't sent any more."""

MOVE_WAIT_SECONDS = 0.35
"""How long a call waits for the next owner of its key."""

MOVE_MARK_SECONDS = 0.3
"""How long a target that gave up a shard isn't asked for it again."""

NOT_CONFIGURED_RETRY_SECONDS = 0.5
MOVED_RETRY_SECONDS = 0.2
NO_TARGET_RETRY_SECONDS = 0.4
COLD_RETRY_SECONDS = 0.5
REFUSED_PAUSE_SECONDS = 0.15
BROKEN_PAUSE_SECONDS = 0.5
UNREACHABLE_PAUSE_SECONDS = 1.0
UNREACHABLE_RETRY_SECONDS = 0.3
LEAVING_MARGIN = 0.6
"""Part of the bound after which a leaving target gets no keyed calls."""


@dataclasses.dataclass(slots=True)
class Attempts:
    """What has become of a call so far.

    Attributes:
        call: The call.
        route: Its route.
        service: Its service.
        deadline: When an answer is of no use, in monotonic seconds.
        tried: Targets that it was sent to.
        may_have_run: Whether a target may have run it.
        ahead: Calls before the latest attempt at its target, over the slots.
        latest: Outcome of the latest attempt, as a code.
        retry_after: When the caller should return, if it is refused.
    """

    call: calls.Call
    route: config.Route
    service: config.Service
    deadline: float
    tried: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    ahead: float = 0.0
    latest: codes.ResultCode = codes.ResultCode.NO_TARGET
    retry_after: float = NO_TARGET_RETRY_SECONDS

    @property
    def is_keyed(self) -> bool:
        """Whether only the owner of the call's key may serve it."""
        return self.service.keyed and self.call.key is not None

    def left(self) -> float:
        """Returns the time left, in seconds."""
        return self.deadline - time.monotonic()

    def conclude(self) -> calls.Reply:
        """Returns the reply to a call that no target has answered."""
        if not self.may_have_run:
            return calls.refuse(self.latest, self.retry_after)
        if self.left() < MIN_LEFT_SECONDS:
            return calls.refuse(codes.ResultCode.DEADLINE_EXCEEDED)
        return calls.refuse(codes.ResultCode.OUTCOME_UNKNOWN)


class Forwarder:
    """Serves calls with what the node's view shows."""

    def __init__(
        self,
        cfg: settings.NodeSettings,
        known: view.View,
        upstreams: upstream.Upstreams,
        names: protocol.HeaderNames,
        read_load: collections.abc.Callable[[str], loads.LoadReport | None],
        numbers: metrics.Metrics,
        notes: journal.Journal,
        reporter: reporting.Reporter,
    ):
        self._cfg = cfg
        self._reporter = reporter
        self._view = known
        self._upstreams = upstreams
        self._names = names
        self._read_load = read_load
        self._metrics = numbers
        self._notes = notes
        self._splitter = split.Splitter()
        self._budget = retries.RetryBudget(cfg.limits.retry_allowance)
        bound = coldstart.ColdBound(
            cfg.limits.cold_factor, cfg.limits.cold_slack
        )
        self._pacer = coldstart.ColdPacer(cfg.node, bound)
        self._moved: dict[tuple[str, int], float] = {}
        self._rng = random.Random()
        self._own = {names.deadline.lower(), names.expected_target.lower()}

    async def serve(self, call: calls.Call) -> calls.Reply:
        """Returns the reply to a call."""
        if self._view.routes is None:
            return calls.refuse(
                codes.ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_SECONDS
            )
        path = call.path.partition("?")[0]
        route = self._view.routes.find(call.host, path)
        if route is None:
            self._notes.note_call(
                "call matches no route",
                call=call.call_id,
                host=call.host,
                path=path,
                version=self._view.routes.configuration.version,
            )
            return calls.refuse(codes.ResultCode.UNKNOWN_ROUTE)
        configuration = self._view.routes.configuration
        if len(call.body) > configuration.max_body_bytes:
            return calls.refuse(codes.ResultCode.BODY_TOO_LARGE)
        service = configuration.services[self._splitter.choose(route)]
        seconds = min(call.seconds, route.timeout)
        attempts = Attempts(call, route, service, call.received + seconds)
        if attempts.is_keyed:
            self._reporter.meter(service.name).count_call(call.key)
        reply = await self._attempt_all(attempts)
        self._account(attempts, reply)
        return reply

    async def _attempt_all(self, attempts: Attempts) -> calls.Reply:
        service = attempts.service.name
        self._budget.earn(service, self._view.node_count())
        while attempts.left() > MIN_LEFT_SECONDS:
            target = await self._find_target(attempts)
            if target is None:
                break
            if attempts.tried and not self._budget.spend(service):
                break
            reply = await self._attempt(attempts, target)
            if reply is not None:
                return reply
            if not self._may_go_on(attempts):
                break
        return attempts.conclude()

    def _may_go_on(self, attempts: Attempts) -> bool:
        if attempts.may_have_run and not attempts.route.idempotent:
            return False
        return len(attempts.tried) < max(1, attempts.route.max_targets)

    async def _find_target(self, attempts: Attempts) -> registry.Target | None:
        if attempts.is_keyed:
            target = await self._find_owner(attempts)
        else:
            target = self._choose(attempts)
        if target is None:
            return None
        now = time.monotonic()
        if not self._admit(attempts, target, now):
            return None
        return target

    def _choose(self, attempts: Attempts) -> registry.Target | None:
        now = time.monotonic()
        nodes = self._view.node_count()
        limit = attempts.service.max_connections
        candidates = [
            target
            for target in self._view.registry.of_service(attempts.service.name)
            if target.listing.target_id not in attempts.tried
            and self._view.registry.is_open(target, now)
            and admission.has_connection(target, limit, nodes)
            and self._is_warm_enough(attempts.service, target, now)
        ]
        target = choice.choose_target(
            candidates, self._cfg.zone, now, self._rng
        )
        if target is None and not attempts.tried:
            attempts.latest = codes.ResultCode.NO_TARGET
            attempts.retry_after = NO_TARGET_RETRY_SECONDS
        return target

    def _is_warm_enough(self, service, target, now: float) -> bool:
        if not target.is_cold(now):
            return True
        return self._pacer.may_send(
            target.listing.target_id, service.cold_rate, self._view.nodes, now
        )

    async def _find_owner(self, attempts: Attempts) -> registry.Target | None:
        """Returns the owner of the call's key, waiting shortly for a move."""
        until = min(
            time.monotonic() + MOVE_WAIT_SECONDS,
            attempts.deadline - MIN_LEFT_SECONDS,
        )
        while True:
            target = self._owner(attempts)
            if target is not None:
                return target
            left = until - time.monotonic()
            if left <= 0.0:
                attempts.latest = codes.ResultCode.NOT_READY
                attempts.retry_after = MOVED_RETRY_SECONDS
                return None
            await self._view.wait_for_tables(min(left, MOVE_MARK_SECONDS / 3))

    def _owner(self, attempts: Attempts) -> registry.Target | None:
        service = attempts.service.name
        found = self._view.tables.get(service)
        shard = found.find(attempts.call.key) if found else None
        if shard is None:
            return None
        now = time.monotonic()
        if self._moved.get((service, shard.fence), 0.0) > now:
            return None
        target = self._view.registry.targets.get(shard.owner.target_id)
        if target is None or target.listing.born != shard.owner.born:
            return None
        if not self._may_still_own(target, now):
            return None
        return target

    def _may_still_own(self, target: registry.Target, now: float) -> bool:
        """Returns whether a target that is to give up its keys gets calls."""
        limits = self._cfg.limits
        evacuated = self._view.registry.evacuated.get(target.listing.zone)
        if evacuated is not None:
            if now - evacuated > LEAVING_MARGIN * limits.evacuation:
                return False
        leaving = target.draining_since or target.gone_at
        if leaving and now - leaving > LEAVING_MARGIN * limits.drain:
            return target.is_listed(now) and not target.draining_since
        return True

    def _admit(
        self, attempts: Attempts, target: registry.Target, now: float
    ) -> bool:
        service = attempts.service
        if not self._is_warm_enough(service, target, now):
            attempts.latest = codes.ResultCode.OVERLOADED
            attempts.retry_after = COLD_RETRY_SECONDS
            return False
        if attempts.is_keyed and target.load.unreachable_until > now:
            attempts.latest = codes.ResultCode.TARGET_REFUSED
            attempts.retry_after = NO_TARGET_RETRY_SECONDS
            return False
        expected = target.load.expected_seconds(target.listing.slots, now)
        objective = attempts.route.objective
        nodes = self._view.node_count()
        full = not admission.has_connection(
            target, service.max_connections, nodes
        )
        if full or admission.is_hopeless(expected, objective, attempts.left()):
            attempts.latest = codes.ResultCode.OVERLOADED
            attempts.retry_after = admission.retry_after(expected, objective)
            self._notes.note_call(
                "call refused for load",
                call=attempts.call.call_id,
                service=service.name,
                target=target.listing.target_id,
                expected=round(expected, 3),
                objective=objective,
                report=repr(target.load.report),
                report_age=round(now - target.load.reported_at, 3),
            )
            return False
        return True

    async def _attempt(
        self, attempts: Attempts, target: registry.Target
    ) -> calls.Reply | None:
        """Sends the call; returns the reply if it is settled by the answer."""
        now = time.monotonic()
        target_id = target.listing.target_id
        if target.is_cold(now):
            self._pacer.count(target_id, now)
        attempts.tried.append(target_id)
        attempts.ahead = target.load.ahead(target.listing.slots, now)
        target.load.in_flight += 1
        try:
            sent = await self._upstreams.send(self._outgoing(attempts, target))
        finally:
            target.load.in_flight -= 1
        return self._settle(attempts, target, sent, now)

    def _outgoing(self, attempts, target) -> upstream.Outgoing:
        call = attempts.call
        left = attempts.left()
        named = _named_in_connection(call.headers)
        headers = [
            (name, text)
            for name, text in call.headers
            if name.lower() not in HOP_HEADERS
            and name.lower() not in self._own
            and name.lower() not in named
        ]
        milliseconds = max(1, int(left * 1000))
        headers.append((self._names.deadline, str(milliseconds)))
        headers.append((self._names.expected_target, target.listing.target_id))
        return upstream.Outgoing(
            target.listing.address,
            call.method,
            call.path,
            headers,
            call.body,
            call.call_id,
            left,
            not attempts.route.idempotent,
        )

    def _settle(
        self, attempts, target, sent: upstream.Sent, started: float
    ) -> calls.Reply | None:
        now = time.monotonic()
        outcome = sent.outcome
        self._metrics.count_attempt(attempts.service.name, outcome.value)
        if outcome is upstream.SendOutcome.ANSWERED:
            return self._settle_answer(attempts, target, sent.answer, started)
        self._note_attempt(attempts, target, outcome.value, sent.detail)
        target.load.observe_failure()
        if outcome is upstream.SendOutcome.NOT_SENT:
            target.load.avoid_until = now + UNREACHABLE_PAUSE_SECONDS
            target.load.unreachable_until = now + UNREACHABLE_RETRY_SECONDS
            attempts.latest = codes.ResultCode.TARGET_REFUSED
            attempts.retry_after = MOVED_RETRY_SECONDS
            return None
        target.load.avoid_until = now + BROKEN_PAUSE_SECONDS
        attempts.may_have_run = True
        return None

    def _settle_answer(
        self, attempts, target, answer: upstream.Answer, started: float
    ) -> calls.Reply | None:
        now = time.monotonic()
        names = self._names
        report = answer.headers.get(names.load)
        if report:
            found = self._read_load(report)
            if found is not None:
                target.load.observe_report(found, now)
        if names.not_run in answer.headers:
            self._settle_not_run(attempts, target, answer)
            return None
        if not self._is_own_answer(attempts, answer):
            self._note_attempt(attempts, target, "answer is not the call's", "")
            target.load.observe_failure()
            attempts.may_have_run = True
            return None
        if answer.status < SERVER_ERROR:
            self._observe_success(attempts, target, now - started)
            target.load.observe_size(len(answer.body))
        else:
            target.load.observe_failure()
            attempts.may_have_run = True
            self._note_attempt(attempts, target, "failed", str(answer.status))
            if attempts.route.idempotent and self._may_retry(attempts):
                return None
        return self._pass_on(answer)

    def _observe_success(self, attempts, target, seconds: float) -> None:
        work = target.load.observe_success(seconds, attempts.ahead)
        if attempts.is_keyed:
            meter = self._reporter.meter(attempts.service.name)
            meter.count_work(target.listing.target_id, work)

    def _may_retry(self, attempts: Attempts) -> bool:
        return (
            self._may_go_on(attempts)
            and attempts.left() > 2 * MIN_LEFT_SECONDS
            and not attempts.service.keyed
        )

    def _is_own_answer(self, attempts, answer: upstream.Answer) -> bool:
        names = self._names
        if answer.headers.get(names.call_id) != attempts.call.call_id:
            return False
        if "Content-Encoding" in answer.headers:
            return False
        if answer.status in PROMISES:
            return False
        is_success = 200 <= answer.status < 300
        return not is_success or names.signature in answer.headers

    def _settle_not_run(self, attempts, target, answer) -> None:
        now = time.monotonic()
        self._note_attempt(attempts, target, "not run", str(answer.status))
        attempts.latest = codes.ResultCode.TARGET_REFUSED
        expected = target.load.expected_seconds(target.listing.slots, now)
        objective = attempts.route.objective
        attempts.retry_after = admission.retry_after(expected, objective)
        if answer.status == HTTP_MISDIRECTED:
            attempts.latest = codes.ResultCode.MOVED
            attempts.retry_after = MOVED_RETRY_SECONDS
            self._mark_moved(attempts, now)
            if attempts.service.keyed:
                attempts.tried.remove(target.listing.target_id)
                attempts.tried.append("")
            return
        target.load.avoid_until = now + REFUSED_PAUSE_SECONDS

    def _mark_moved(self, attempts: Attempts, now: float) -> None:
        service = attempts.service.name
        found = self._view.tables.get(service)
        if found is None or attempts.call.key is None:
            return
        shard = found.find(attempts.call.key)
        if shard is not None:
            self._moved[service, shard.fence] = now + MOVE_MARK_SECONDS

    def _pass_on(self, answer: upstream.Answer) -> calls.Reply:
        code = codes.ResultCode.OK
        if answer.status >= SERVER_ERROR:
            code = codes.ResultCode.TARGET_ERROR
        return calls.Reply(code, answer.status, answer.headers, answer.body)

    def _note_attempt(self, attempts, target, outcome: str, detail: str):
        self._notes.note_call(
            "attempt failed",
            call=attempts.call.call_id,
            service=attempts.service.name,
            target=target.listing.target_id,
            attempt=len(attempts.tried),
            outcome=outcome,
            detail=detail,
            left=round(attempts.left(), 3),
        )

    def _account(self, attempts: Attempts, reply: calls.Reply) -> None:
        seconds = time.monotonic() - attempts.call.received
        service = attempts.service.name
        self._metrics.count_call(service, reply.code, seconds)
        self._notes.note_call(
            "call answered",
            call=attempts.call.call_id,
            route=attempts.route.name,
            service=service,
            key=attempts.call.key,
            target=attempts.tried[-1] if attempts.tried else "",
            attempts=len(attempts.tried),
            code=int(reply.code),
            status=reply.status,
            seconds=round(seconds, 4),
            retry_after=round(reply.retry_after, 3),
            version=self._view.routes.configuration.version,
        )

    def forget(self) -> None:
        """Drops marks that have run out."""
        now = time.monotonic()
        self._moved = {k: t for k, t in self._moved.items() if t > now}


def _named_in_connection(headers) -> set[str]:
    named = set()
    for name, text in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in text.split(","))
    return named
