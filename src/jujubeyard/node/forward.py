"""Forwards calls: matches routes, sends them to targets, retries, replies."""

import collections.abc
import functools
import time

from jujubeyard import codes
from jujubeyard.node import answer_stream
from jujubeyard.node import answers
from jujubeyard.node import attempts
from jujubeyard.node import calls
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import passing
from jujubeyard.node import protocol
from jujubeyard.node import reporting
from jujubeyard.node import selection
from jujubeyard.node import settings
from jujubeyard.node import upstream
from jujubeyard.node import waiting_room
from jujubeyard.routing import admission
from jujubeyard.routing import config
from jujubeyard.routing import retries
from jujubeyard.routing import split
from jujubeyard.targets import loads
from jujubeyard.targets import notices
from jujubeyard.targets import registry

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
NOT_CONFIGURED_RETRY_SECONDS = 0.5
REFUSED_AVOID_SECONDS = 0.15
BROKEN_AVOID_SECONDS = 0.5
UNREACHABLE_AVOID_SECONDS = 1.0
UNREACHABLE_RETRY_SECONDS = 0.3
UPLOADS_RETRY_SECONDS = 0.5
"""When a caller should retry whose body no target has room for."""


class Forwarder:
    """Forwards calls to the targets that the node's view lists.

    Attributes:
        owner_lookup: Finds the owners of keys.
        waiting_room: Lets calls wait until a target has room.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        view: cluster_view.ClusterView,
        client: upstream.UpstreamClient,
        header_names: protocol.HeaderNames,
        read_load: collections.abc.Callable[[str], loads.LoadReport | None],
        metric_set: metrics.Metrics,
        log: journal.Journal,
        reporter: reporting.Reporter,
    ):
        """Initializes the forwarder.

        Args:
            cfg: Settings of the node.
            view: Routes, targets, shard tables and other nodes.
            client: Sends calls to targets.
            header_names: Names of the protocol's headers.
            read_load: Parses the load header of an answer; returns None if it
                is malformed.
            metric_set: Counts calls and attempts.
            log: Log of replies, failed attempts and refused calls.
            reporter: Counts keyed calls for the reports to the leader.
        """
        self._reporter = reporter
        self._view = view
        self._client = client
        self._header_names = header_names
        self._read_load = read_load
        self._metrics = metric_set
        self._log = log
        self._splitter = split.Splitter()
        self._retry_budget = retries.RetryBudget(
            cfg.limits.retry_ratio, cfg.limits.retry_allowance
        )
        self.owner_lookup = owners.OwnerLookup(view, cfg.limits)
        self._selector = selection.TargetSelector(
            cfg, view, self.owner_lookup, metric_set, log
        )
        self.waiting_room = waiting_room.WaitingRoom(
            view, self._selector, self.owner_lookup, metric_set, log
        )
        self._header_filter = passing.HeaderFilter(header_names)

    async def serve(self, call: calls.Call) -> calls.Reply:
        """Forwards a call to a target and returns the reply to it.

        Args:
            call: The call.

        Returns:
            The target's answer, or an error reply of the router.
        """
        if self._view.routes is None:
            return calls.make_error_reply(
                codes.ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_SECONDS
            )
        path = call.path.partition("?")[0]
        route = self._view.routes.find(call.host, path)
        if not isinstance(route, config.Route):
            return self._reply_without_route(call, path, route)
        configuration = self._view.routes.configuration
        if not call.limit_body(configuration.max_body_bytes):
            return calls.make_error_reply(codes.ResultCode.BODY_TOO_LARGE)
        service = configuration.services[self._splitter.choose_service(route)]
        timeout_seconds = min(call.timeout_seconds, route.timeout)
        state = attempts.CallState(
            call, route, service, call.received_at + timeout_seconds
        )
        if state.is_keyed:
            self._reporter.meter(service.name).count_call(call.key)
        call.progress.is_known_not_run = True
        reply = await self._try_targets(state)
        self._record_reply(state, reply)
        return reply

    def is_idempotent(self, call: calls.Call) -> bool:
        """Returns whether the route of a call allows that it runs again."""
        if self._view.routes is None:
            return False
        path = call.path.partition("?")[0]
        route = self._view.routes.find(call.host, path)
        return isinstance(route, config.Route) and route.idempotent

    def _reply_without_route(
        self,
        call: calls.Call,
        path: str,
        unreadable: config.UnreadableRoute | None,
    ) -> calls.Reply:
        """Returns the reply to a call that matches no readable route.

        It is only denied if no configuration may have a route for it: a newer
        one may be known but not read yet.

        Args:
            call: The call.
            path: Its path without the query.
            unreadable: The route that it matches and that can't be read.
        """
        is_outdated = self._view.is_configuration_outdated()
        may_be_allowed = (
            unreadable is not None
            or is_outdated
            or self._view.routes.may_lack_route(call.host)
        )
        self._log.log_call(
            "call matches no route",
            call=call.call_id,
            host=call.host,
            path=path,
            version=self._view.routes.configuration.version,
            outdated=is_outdated,
            unreadable=unreadable.name if unreadable else "",
        )
        if may_be_allowed:
            return calls.make_error_reply(
                codes.ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_SECONDS
            )
        return calls.make_error_reply(codes.ResultCode.UNKNOWN_ROUTE)

    async def _try_targets(self, state: attempts.CallState) -> calls.Reply:
        """Sends the call to one target after the other until one answers."""
        service = state.service.name
        self._retry_budget.earn(service, self._view.node_count())
        while state.remaining_seconds() > attempts.MIN_REMAINING_SECONDS:
            target = await self.waiting_room.select(state)
            if target is None:
                break
            if state.attempt_count() and not self._retry_budget.spend(service):
                break
            reply = await self._send_to_target(state, target)
            if reply is not None:
                return reply
            if not self._may_try_again(state):
                break
        return state.make_final_reply()

    def _may_try_again(self, state: attempts.CallState) -> bool:
        """Returns whether the call may be sent to a target once more."""
        if state.may_have_run and not state.route.idempotent:
            return False
        if not state.call.may_be_sent():
            return False
        return state.attempt_count() < max(1, state.route.max_targets)

    async def _send_to_target(
        self, state: attempts.CallState, target: registry.Target
    ) -> calls.Reply | None:
        """Sends the call to a target.

        Returns:
            The reply to the call, or None if another attempt may follow.
        """
        now = time.monotonic()
        target_id = target.listing.target_id
        self._selector.record_call(target, now)
        state.tried_targets.append(target_id)
        state.queue_ratio = target.load.queue_ratio(target.listing.slots, now)
        self._selector.begin_work(state, target, now)
        target.load.in_flight += 1
        state.call.progress.is_known_not_run = False
        try:
            result = await self._client.send(
                self._make_outgoing_call(state, target)
            )
        finally:
            target.load.in_flight -= 1
            self._selector.work.end(state.sent, target)
            self.waiting_room.tell_of_room(state.service.name, target_id)
        reply = self._process_result(state, target, result, now)
        state.call.progress.is_known_not_run = not state.may_have_run
        if result.answer is not None and result.answer.stream is not None:
            self._follow_stream(state, target, result.answer.stream, reply)
        return reply

    def _follow_stream(
        self,
        state: attempts.CallState,
        target: registry.Target,
        stream: answer_stream.AnswerStream,
        reply: calls.Reply | None,
    ) -> None:
        """Counts the call at its target until its answer was passed on."""
        if reply is None or reply.stream is None:
            stream.close()
            return
        target.load.in_flight += 1
        stream.on_end(
            functools.partial(self._end_stream, state, target, stream)
        )

    def _end_stream(
        self,
        state: attempts.CallState,
        target: registry.Target,
        stream: answer_stream.AnswerStream,
    ) -> None:
        """Records the end of an answer that was passed on as it arrived."""
        target.load.in_flight -= 1
        self.waiting_room.tell_of_room(
            state.service.name, target.listing.target_id
        )
        if not stream.failure:
            return
        if stream.is_target_at_fault:
            target.load.observe_failure()
        self._log.log_call(
            "answer broken off",
            call=state.call.call_id,
            service=state.service.name,
            target=target.listing.target_id,
            target_at_fault=stream.is_target_at_fault,
            detail=stream.failure,
            left=round(state.remaining_seconds(), 3),
        )

    def _make_outgoing_call(self, state, target) -> upstream.OutgoingCall:
        call = state.call
        remaining = state.remaining_seconds()
        # A target's first answer to this call must not be read again.
        is_repeated = target.listing.target_id in state.contacted_targets
        state.contacted_targets.add(target.listing.target_id)
        headers = self._header_filter.filter_request(call.headers)
        milliseconds = max(1, int(remaining * 1000))
        headers.append((self._header_names.deadline, str(milliseconds)))
        headers.append(
            (self._header_names.expected_target, target.listing.target_id)
        )
        return upstream.OutgoingCall(
            target.listing.address,
            call.method,
            call.path,
            headers,
            call.body,
            call.call_id,
            remaining,
            not state.route.idempotent or is_repeated,
            call.stream,
            call.may_stream_answer,
        )

    def _process_result(
        self, state, target, result: upstream.SendResult, started_at: float
    ) -> calls.Reply | None:
        """Records the outcome of an attempt.

        Args:
            state: The call.
            target: The target that it was sent to.
            result: Outcome of the attempt.
            started_at: When the attempt began, in monotonic seconds.

        Returns:
            The reply to the call, or None if another attempt may follow.
        """
        now = time.monotonic()
        outcome = result.outcome
        self._metrics.count_attempt(state.service.name, outcome.value)
        if outcome is upstream.SendOutcome.ANSWERED:
            return self._process_answer(
                state, target, result.answer, started_at
            )
        self._log_failed_attempt(state, target, outcome.value, result.detail)
        if outcome is upstream.SendOutcome.TARGET_FULL:
            state.latest_code = codes.ResultCode.TARGET_REFUSED
            state.retry_after = UPLOADS_RETRY_SECONDS
            # The owner of a key isn't left out of further attempts.
            state.unsent_count += not state.is_keyed
            return None
        if outcome is upstream.SendOutcome.CALLER_FAILED:
            return calls.make_error_reply(state.call.stream.failure)
        if outcome is upstream.SendOutcome.NO_MEMORY:
            state.may_have_run = True
            return None
        target.load.observe_failure()
        if outcome is upstream.SendOutcome.NOT_SENT:
            target.load.avoid_until = now + UNREACHABLE_AVOID_SECONDS
            target.load.unreachable_until = now + UNREACHABLE_RETRY_SECONDS
            state.latest_code = codes.ResultCode.TARGET_REFUSED
            state.retry_after = owners.MOVED_RETRY_SECONDS
            return None
        target.load.avoid_until = now + BROKEN_AVOID_SECONDS
        if outcome is upstream.SendOutcome.BROKEN:
            target.load.room.observe_reset(now)
        state.may_have_run = True
        return None

    def _process_answer(
        self, state, target, answer: upstream.Answer, started_at: float
    ) -> calls.Reply | None:
        """Validates and records a target's answer.

        Args:
            state: The call.
            target: The target that answered.
            answer: Its answer.
            started_at: When the attempt began, in monotonic seconds.

        Returns:
            The reply to the call, or None if another attempt may follow.
        """
        now = time.monotonic()
        self._observe_notice(target, answer, now)
        header_names = self._header_names
        load_header = answer.headers.get(header_names.load)
        load_report = self._read_load(load_header) if load_header else None
        if load_report is not None:
            target.load.observe_report(load_report, now)
        kind = answers.classify_answer(answer, state.call.call_id, header_names)
        if kind is answers.AnswerKind.REFUSED:
            self._process_not_run(state, target, answer, load_report)
            return None
        if kind is answers.AnswerKind.SERVED:
            self._record_success(state, target, now - started_at)
            target.load.observe_size(answer.known_bytes())
            target.load.room.refusal.observe_acceptance(now)
            return self._make_reply(answer)
        state.may_have_run = True
        target.load.observe_failure()
        if kind is answers.AnswerKind.INVALID:
            self._log_failed_attempt(state, target, kind.value, "")
            return None
        self._log_failed_attempt(state, target, kind.value, str(answer.status))
        if state.route.idempotent and self._may_retry_error(state):
            return None
        return self._make_reply(answer)

    def _observe_notice(
        self, target: registry.Target, answer: upstream.Answer, now: float
    ) -> None:
        """Records what a target's answer announces about the target."""
        target_id = target.listing.target_id
        notice = notices.read_notice(
            answer.status, answer.headers, target_id, self._header_names
        )
        if target.observe_notice(notice, now):
            self._log.log_event("target says it is leaving", target=target_id)
        if notice.pause_seconds:
            self._log.log_call(
                "target asks for a pause",
                target=target_id,
                seconds=round(notice.pause_seconds, 3),
            )

    def _record_success(self, state, target, seconds: float) -> None:
        """Records the time of a successful call.

        Args:
            state: The call.
            target: The target that served it.
            seconds: Time from sending the call to its answer, in seconds.
        """
        work_seconds = target.load.observe_success(seconds, state.queue_ratio)
        self._selector.record_work(state, work_seconds)
        tracker = self._selector.work
        tracker.observe(state.sent, target, seconds, time.monotonic())
        self._metrics.observe_work(
            state.service.name, state.sent, tracker.model.size()
        )
        if state.is_keyed:
            meter = self._reporter.meter(state.service.name)
            meter.count_work(target.listing.target_id, work_seconds)

    def _may_retry_error(self, state: attempts.CallState) -> bool:
        """Returns whether a call may be retried after a target's error."""
        return (
            self._may_try_again(state)
            and state.remaining_seconds() > 2 * attempts.MIN_REMAINING_SECONDS
            and not state.service.keyed
        )

    def _process_not_run(
        self, state, target, answer, load_report: loads.LoadReport | None
    ) -> None:
        """Records that a target refused the call without running it.

        In a keyed service, a misdirected call counts as an attempt but doesn't
        exclude the target from further ones.
        """
        now = time.monotonic()
        detail = str(answer.status)
        if (
            answer.status == UNAVAILABLE_STATUS
            and load_report is not None
            and state.remaining_seconds() > attempts.MIN_REMAINING_SECONDS
        ):
            cause = target.load.room.observe_refusal(
                load_report.running,
                load_report.waiting,
                load_report.slots,
                now,
            )
            detail += f", {cause.value}"
        self._log_failed_attempt(state, target, "not run", detail)
        state.latest_code = codes.ResultCode.TARGET_REFUSED
        expected_seconds = target.load.expected_seconds(
            target.listing.slots, now
        )
        objective = state.route.objective
        state.retry_after = max(
            admission.retry_after(expected_seconds, objective),
            target.load.pause_seconds(now),
        )
        if answer.status == MISDIRECTED_STATUS:
            state.latest_code = codes.ResultCode.MOVED
            state.retry_after = owners.MOVED_RETRY_SECONDS
            self.owner_lookup.mark_moved(state, now)
            if state.service.keyed:
                state.tried_targets.remove(target.listing.target_id)
                state.tried_targets.append("")
            return
        target.load.avoid_until = now + REFUSED_AVOID_SECONDS

    def _make_reply(self, answer: upstream.Answer) -> calls.Reply:
        code = codes.ResultCode.OK
        if answer.status >= answers.MIN_SERVER_ERROR_STATUS:
            code = codes.ResultCode.TARGET_ERROR
        return calls.Reply(
            code,
            answer.status,
            answer.headers,
            answer.body,
            stream=answer.stream,
        )

    def _log_failed_attempt(self, state, target, outcome: str, detail: str):
        """Logs an attempt that didn't produce a usable answer."""
        self._log.log_call(
            "attempt failed",
            call=state.call.call_id,
            service=state.service.name,
            target=target.listing.target_id,
            attempt=len(state.tried_targets),
            outcome=outcome,
            detail=detail,
            left=round(state.remaining_seconds(), 3),
        )

    def _record_reply(
        self, state: attempts.CallState, reply: calls.Reply
    ) -> None:
        """Counts and logs a reply."""
        seconds = time.monotonic() - state.call.received_at
        service = state.service.name
        sent = state.sent
        self._metrics.count_call(service, reply.code, seconds)
        self._log.log_call(
            "call answered",
            call=state.call.call_id,
            route=state.route.name,
            service=service,
            key=state.call.key,
            target=state.tried_targets[-1] if state.tried_targets else "",
            attempts=len(state.tried_targets),
            code=int(reply.code),
            status=reply.status,
            seconds=round(seconds, 4),
            work_expected=round(sent.expected_processing, 4) if sent else 0.0,
            work_observed=round(sent.processing, 4) if sent else 0.0,
            retry_after=round(reply.retry_after, 3),
            version=self._view.routes.configuration.version,
        )
