"""The path of a call: route, owner or choice, admission, target, answer."""

import collections.abc
import random
import time

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import calls
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import protocol
from jujubeyard.node import reporting
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.routing import admission
from jujubeyard.routing import balancing
from jujubeyard.routing import coldstart
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
NOT_CONFIGURED_RETRY_SECONDS = 0.5
COLD_RETRY_SECONDS = 0.5
REFUSED_PAUSE_SECONDS = 0.15
BROKEN_PAUSE_SECONDS = 0.5
UNREACHABLE_PAUSE_SECONDS = 1.0
UNREACHABLE_RETRY_SECONDS = 0.3


class Forwarder:
    """Serves calls with what the node's view shows.

    Attributes:
        owners: Finds the owners of keys.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        known: cluster_view.ClusterView,
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
        self._budget = retries.RetryBudget(
            cfg.limits.retry_ratio, cfg.limits.retry_allowance
        )
        bound = coldstart.ColdRateLimit(
            cfg.limits.cold_factor, cfg.limits.cold_slack
        )
        self._pacer = coldstart.ColdStartLimiter(cfg.node, bound)
        self.owners = owners.Owners(known, cfg.limits)
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
        service = configuration.services[self._splitter.choose_service(route)]
        seconds = min(call.seconds, route.timeout)
        progress = attempts.Attempts(
            call, route, service, call.received + seconds
        )
        if progress.is_keyed:
            self._reporter.meter(service.name).count_call(call.key)
        reply = await self._attempt_all(progress)
        self._account(progress, reply)
        return reply

    async def _attempt_all(self, progress: attempts.Attempts) -> calls.Reply:
        service = progress.service.name
        self._budget.earn(service, self._view.node_count())
        while progress.left() > attempts.MIN_LEFT_SECONDS:
            target = await self._find_target(progress)
            if target is None:
                break
            if progress.tried and not self._budget.spend(service):
                break
            reply = await self._attempt(progress, target)
            if reply is not None:
                return reply
            if not self._may_go_on(progress):
                break
        return progress.conclude()

    def _may_go_on(self, progress: attempts.Attempts) -> bool:
        if progress.may_have_run and not progress.route.idempotent:
            return False
        return len(progress.tried) < max(1, progress.route.max_targets)

    async def _find_target(
        self, progress: attempts.Attempts
    ) -> registry.Target | None:
        if progress.is_keyed:
            target = await self.owners.find(progress)
        else:
            target = self._choose(progress)
        if target is None:
            return None
        now = time.monotonic()
        if not self._admit(progress, target, now):
            return None
        return target

    def _choose(self, progress: attempts.Attempts) -> registry.Target | None:
        now = time.monotonic()
        nodes = self._view.node_count()
        limit = progress.service.max_connections
        candidates = [
            target
            for target in self._view.registry.service_targets(
                progress.service.name
            )
            if target.listing.target_id not in progress.tried
            and self._view.registry.is_available(target, now)
            and admission.has_spare_connection(target, limit, nodes)
            and self._is_warm_enough(progress.service, target, now)
        ]
        target = balancing.choose_target(
            candidates, self._cfg.zone, nodes, now, self._rng
        )
        if target is None and not progress.tried:
            progress.latest = codes.ResultCode.NO_TARGET
            progress.retry_after = attempts.NO_TARGET_RETRY_SECONDS
        return target

    def _is_warm_enough(self, service, target, now: float) -> bool:
        if not target.is_cold(now):
            return True
        return self._pacer.may_send(
            target.listing.target_id, service.cold_rate, self._view.nodes, now
        )

    def _admit(
        self, progress: attempts.Attempts, target: registry.Target, now: float
    ) -> bool:
        service = progress.service
        if not self._is_warm_enough(service, target, now):
            progress.latest = codes.ResultCode.OVERLOADED
            progress.retry_after = COLD_RETRY_SECONDS
            return False
        if progress.is_keyed and target.load.unreachable_until > now:
            progress.latest = codes.ResultCode.TARGET_REFUSED
            progress.retry_after = attempts.NO_TARGET_RETRY_SECONDS
            return False
        expected = target.load.expected_seconds(target.listing.slots, now)
        objective = progress.route.objective
        nodes = self._view.node_count()
        full = not admission.has_spare_connection(
            target, service.max_connections, nodes
        )
        if full or admission.should_refuse(
            expected, objective, progress.left()
        ):
            progress.latest = codes.ResultCode.OVERLOADED
            progress.retry_after = admission.retry_after(expected, objective)
            self._notes.note_call(
                "call refused for load",
                call=progress.call.call_id,
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
        self, progress: attempts.Attempts, target: registry.Target
    ) -> calls.Reply | None:
        """Sends the call; returns the reply if it is settled by the answer."""
        now = time.monotonic()
        target_id = target.listing.target_id
        if target.is_cold(now):
            self._pacer.record_call(target_id, now)
        progress.tried.append(target_id)
        progress.queue_ratio = target.load.queue_ratio(
            target.listing.slots, now
        )
        target.load.in_flight += 1
        try:
            sent = await self._upstreams.send(self._outgoing(progress, target))
        finally:
            target.load.in_flight -= 1
        return self._settle(progress, target, sent, now)

    def _outgoing(self, progress, target) -> upstream.Outgoing:
        call = progress.call
        left = progress.left()
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
            not progress.route.idempotent,
        )

    def _settle(
        self, progress, target, sent: upstream.Sent, started: float
    ) -> calls.Reply | None:
        now = time.monotonic()
        outcome = sent.outcome
        self._metrics.count_attempt(progress.service.name, outcome.value)
        if outcome is upstream.SendOutcome.ANSWERED:
            return self._settle_answer(progress, target, sent.answer, started)
        self._note_attempt(progress, target, outcome.value, sent.detail)
        target.load.observe_failure()
        if outcome is upstream.SendOutcome.NOT_SENT:
            target.load.avoid_until = now + UNREACHABLE_PAUSE_SECONDS
            target.load.unreachable_until = now + UNREACHABLE_RETRY_SECONDS
            progress.latest = codes.ResultCode.TARGET_REFUSED
            progress.retry_after = owners.MOVED_RETRY_SECONDS
            return None
        target.load.avoid_until = now + BROKEN_PAUSE_SECONDS
        progress.may_have_run = True
        return None

    def _settle_answer(
        self, progress, target, answer: upstream.Answer, started: float
    ) -> calls.Reply | None:
        now = time.monotonic()
        names = self._names
        report = answer.headers.get(names.load)
        if report:
            found = self._read_load(report)
            if found is not None:
                target.load.observe_report(found, now)
        if names.not_run in answer.headers:
            self._settle_not_run(progress, target, answer)
            return None
        if not self._is_own_answer(progress, answer):
            self._note_attempt(progress, target, "answer is not the call's", "")
            target.load.observe_failure()
            progress.may_have_run = True
            return None
        if answer.status < SERVER_ERROR:
            self._observe_success(progress, target, now - started)
            target.load.observe_size(len(answer.body))
        else:
            target.load.observe_failure()
            progress.may_have_run = True
            self._note_attempt(progress, target, "failed", str(answer.status))
            if progress.route.idempotent and self._may_retry(progress):
                return None
        return self._pass_on(answer)

    def _observe_success(self, progress, target, seconds: float) -> None:
        work = target.load.observe_success(seconds, progress.queue_ratio)
        if progress.is_keyed:
            meter = self._reporter.meter(progress.service.name)
            meter.count_work(target.listing.target_id, work)

    def _may_retry(self, progress: attempts.Attempts) -> bool:
        return (
            self._may_go_on(progress)
            and progress.left() > 2 * attempts.MIN_LEFT_SECONDS
            and not progress.service.keyed
        )

    def _is_own_answer(self, progress, answer: upstream.Answer) -> bool:
        names = self._names
        if answer.headers.get(names.call_id) != progress.call.call_id:
            return False
        if "Content-Encoding" in answer.headers:
            return False
        if answer.status in PROMISES:
            return False
        is_success = 200 <= answer.status < 300
        return not is_success or names.signature in answer.headers

    def _settle_not_run(self, progress, target, answer) -> None:
        now = time.monotonic()
        self._note_attempt(progress, target, "not run", str(answer.status))
        progress.latest = codes.ResultCode.TARGET_REFUSED
        expected = target.load.expected_seconds(target.listing.slots, now)
        objective = progress.route.objective
        progress.retry_after = admission.retry_after(expected, objective)
        if answer.status == HTTP_MISDIRECTED:
            progress.latest = codes.ResultCode.MOVED
            progress.retry_after = owners.MOVED_RETRY_SECONDS
            self.owners.mark_moved(progress, now)
            if progress.service.keyed:
                progress.tried.remove(target.listing.target_id)
                progress.tried.append("")
            return
        target.load.avoid_until = now + REFUSED_PAUSE_SECONDS

    def _pass_on(self, answer: upstream.Answer) -> calls.Reply:
        code = codes.ResultCode.OK
        if answer.status >= SERVER_ERROR:
            code = codes.ResultCode.TARGET_ERROR
        return calls.Reply(code, answer.status, answer.headers, answer.body)

    def _note_attempt(self, progress, target, outcome: str, detail: str):
        self._notes.note_call(
            "attempt failed",
            call=progress.call.call_id,
            service=progress.service.name,
            target=target.listing.target_id,
            attempt=len(progress.tried),
            outcome=outcome,
            detail=detail,
            left=round(progress.left(), 3),
        )

    def _account(self, progress: attempts.Attempts, reply: calls.Reply) -> None:
        seconds = time.monotonic() - progress.call.received
        service = progress.service.name
        self._metrics.count_call(service, reply.code, seconds)
        self._notes.note_call(
            "call answered",
            call=progress.call.call_id,
            route=progress.route.name,
            service=service,
            key=progress.call.key,
            target=progress.tried[-1] if progress.tried else "",
            attempts=len(progress.tried),
            code=int(reply.code),
            status=reply.status,
            seconds=round(seconds, 4),
            retry_after=round(reply.retry_after, 3),
            version=self._view.routes.configuration.version,
        )


def _named_in_connection(headers) -> set[str]:
    named = set()
    for name, text in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in text.split(","))
    return named
