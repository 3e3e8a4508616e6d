"""Selects the target for a call, or decides that none admits it."""

import random
import statistics
import time

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import owners
from jujubeyard.node import settings
from jujubeyard.routing import admission
from jujubeyard.routing import bounds
from jujubeyard.routing import coldstart
from jujubeyard.routing import config
from jujubeyard.scheduling import balancing
from jujubeyard.scheduling import queue_bounds
from jujubeyard.scheduling import ranks
from jujubeyard.scheduling import refusals
from jujubeyard.scheduling import room
from jujubeyard.scheduling import tracking
from jujubeyard.targets import loads
from jujubeyard.targets import registry

COLD_RETRY_SECONDS = 0.5


class TargetSelector:
    """Selects targets among those that the node's view lists.

    Attributes:
        queue_bounds: Bounds on the queues at targets where calls wait at the
            node.
        route_work: Processing times of calls by service and route.
        work: Estimated work of calls and of what is left at targets.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        view: cluster_view.ClusterView,
        owner_lookup: owners.OwnerLookup,
        metric_set: metrics.Metrics,
        log: journal.Journal,
    ):
        """Initializes the selector.

        Args:
            cfg: Settings of the node.
            view: Routes, targets, shard tables and other nodes.
            owner_lookup: Finds the owners of keys.
            metric_set: Counts calls that find no room.
            log: Log of refused calls.
        """
        self._cfg = cfg
        self._view = view
        self._owner_lookup = owner_lookup
        self._metrics = metric_set
        self._log = log
        rate_limit = coldstart.ColdRateLimit(
            cfg.limits.cold_factor, cfg.limits.cold_slack
        )
        self._cold_start_limiter = coldstart.ColdStartLimiter(
            cfg.node, rate_limit
        )
        self._rng = random.Random()
        self._call_bounds = bounds.CallBounds()
        self._ranks = ranks.PriorityRanks()
        self._room_keeper = room.RoomKeeper(self._rng)
        self.queue_bounds = queue_bounds.QueueBounds()
        self.route_work = loads.RouteWork()
        self.work = tracking.WorkTracker()

    def record_call(self, target: registry.Target, now: float) -> None:
        """Records that a call is being sent to a target.

        Args:
            target: The target.
            now: Monotonic time, in seconds.
        """
        if target.is_cold(now):
            self._cold_start_limiter.record_call(target.listing.target_id, now)

    def begin_work(
        self, state: attempts.CallState, target: registry.Target, now: float
    ) -> None:
        """Adds a call that is being sent to a target to its backlog.

        Args:
            state: The call.
            target: The target.
            now: Monotonic time, in seconds.
        """
        state.sent = self.work.begin(
            state.traits(), target, self._view.node_count(), now
        )

    def record_work(self, state: attempts.CallState, seconds: float) -> None:
        """Records the processing time of a successful call, in seconds."""
        self.route_work.observe(state.service.name, state.route.name, seconds)

    async def select(self, state: attempts.CallState) -> registry.Target | None:
        """Returns the target for the next attempt at a call.

        Args:
            state: The call; if no target admits it, its latest code and the
                time until a retry say why.
        """
        paced = self._make_paced_call(state)
        state.lacks_room = False
        decision = room.ADMITTED
        if state.is_keyed:
            target = await self._owner_lookup.find_owner(state)
        else:
            target, decision = self._choose_pooled_target(state, paced)
        if target is None:
            return None
        now = time.monotonic()
        if not self._admit(state, target, paced, now):
            decision.give_back()
            return None
        return target

    def _make_paced_call(self, state: attempts.CallState) -> room.PacedCall:
        """Returns what the admission of a call depends on."""
        service, route = state.service, state.route
        rank = self._rank(state)
        if state.lacks_room:
            bound = self._call_bounds.current(service.name)
            return room.PacedCall(service.name, rank, False, bound)
        bound = self._call_bounds.observe(service.name, route.objective)
        paced = room.PacedCall(service.name, rank, True, bound)
        if not state.tried_targets:
            self._room_keeper.observe_call(paced)
        return paced

    def _rank(self, state: attempts.CallState) -> int:
        """Returns how many priorities of the service go before a call's.

        Unlike `CallState.rank`, it is known where no call waits, too.
        """
        if self._view.routes is None:
            return 0
        return self._ranks.rank(
            self._view.routes.configuration,
            state.service.name,
            state.route.urgency,
        )

    def _choose_pooled_target(
        self, state: attempts.CallState, paced: room.PacedCall
    ) -> tuple[registry.Target | None, room.Decision]:
        """Returns the best target for a call that any target may serve.

        With it, returns the decision whether the targets have room for the
        call.
        """
        now = time.monotonic()
        nodes = self._view.node_count()
        limit = state.service.max_connections
        suitable = [
            target
            for target in self._view.registry.service_targets(
                state.service.name
            )
            if target.listing.target_id not in state.tried_targets
            and self._view.registry.is_available(target, now)
            and not target.load.pause_seconds(now)
            and self._may_send_if_cold(state.service, target, now)
        ]
        candidates = [
            target
            for target in suitable
            if admission.has_spare_connection(target, limit, nodes)
        ]
        if state.may_wait and suitable and not candidates:
            self._record_lack_of_connections(state, suitable, paced, now)
            return None, room.ADMITTED
        candidates = refusals.prefer_accepting(
            candidates,
            [target.load.room.refusal.current(now) for target in candidates],
            self._rng,
        )
        decision = self._decide_on_room(state, candidates, paced, now)
        if not self._apply_decision(state, paced, decision, "", 0.0):
            return None, decision
        target = balancing.choose_target(
            candidates,
            self._cfg.zone,
            nodes,
            now,
            self._rng,
            self.work.estimate(state.traits(), nodes),
        )
        if target is None and not state.tried_targets:
            state.latest_code = codes.ResultCode.NO_TARGET
            state.retry_after = max(
                attempts.NO_TARGET_RETRY_SECONDS,
                self._shortest_pause(state.service.name, now),
            )
        return target, decision

    def _record_lack_of_connections(
        self,
        state: attempts.CallState,
        targets: list[registry.Target],
        paced: room.PacedCall,
        now: float,
    ) -> None:
        """Records that a call may wait until a target has a connection."""
        expected_seconds = min(
            target.load.expected_seconds(target.listing.slots, now)
            for target in targets
        )
        state.latest_code = codes.ResultCode.OVERLOADED
        state.lacks_room = True
        state.retry_after = admission.retry_after(
            expected_seconds, state.route.objective
        )
        if paced.is_new:
            self._metrics.count_lacking_room(paced.service, state.route.urgency)

    def _decide_on_room(
        self,
        state: attempts.CallState,
        targets: list[registry.Target],
        paced: room.PacedCall,
        now: float,
    ) -> room.Decision:
        """Decides whether targets together have room for a call."""
        if not targets or targets[0].load.room.limit.current(now) is None:
            return room.ADMITTED
        slots = statistics.fmean(target.listing.slots for target in targets)
        work_seconds = targets[0].load.service_work.mean()
        return self._room_keeper.admit_to_any(
            paced,
            [target.load.room for target in targets],
            work_seconds / max(slots, 1.0),
            now,
        )

    def _apply_decision(
        self,
        state: attempts.CallState,
        paced: room.PacedCall,
        decision: room.Decision,
        target_id: str,
        report_age: float,
    ) -> bool:
        """Returns whether a call is admitted; if not, records why."""
        if decision.is_admitted:
            return True
        state.latest_code = codes.ResultCode.OVERLOADED
        state.lacks_room = True
        state.retry_after = decision.retry_seconds
        if paced.is_new:
            self._metrics.count_lacking_room(paced.service, state.route.urgency)
            self._log.log_call(
                "call lacks room",
                call=state.call.call_id,
                service=paced.service,
                target=target_id,
                urgency=state.route.urgency,
                share=round(decision.share, 3),
                waiting=round(decision.waiting, 1),
                limit=round(decision.limit, 1),
                report_age=round(report_age, 3),
                retry_after=round(decision.retry_seconds, 3),
            )
        return False

    def _shortest_pause(self, service: str, now: float) -> float:
        """Returns when the first target of a service ends its pause.

        That is in 0.0 seconds if any isn't paused.
        """
        return min(
            (
                target.load.pause_seconds(now)
                for target in self._view.registry.service_targets(service)
                if self._view.registry.is_available(target, now)
            ),
            default=0.0,
        )

    def _may_send_if_cold(
        self, service: config.Service, target: registry.Target, now: float
    ) -> bool:
        """Returns whether the target is warm, or cold and due for a call."""
        if not target.is_cold(now):
            return True
        return self._cold_start_limiter.may_send(
            target.listing.target_id, service.cold_rate, self._view.nodes, now
        )

    def _relative_work(
        self, state: attempts.CallState, target: registry.Target
    ) -> float:
        """Returns the work of a call, relative to the mean of its service."""
        return self.route_work.relative_work(
            state.service.name,
            state.route.name,
            target.load.service_work.mean(),
        )

    def _latency_bound(
        self,
        state: attempts.CallState,
        target: registry.Target,
        relative_work: float,
        paced: room.PacedCall,
    ) -> float:
        """Returns how long a call may take at a target, in seconds."""
        service = state.service.name
        if not state.may_wait:
            return paced.bound_seconds
        work_seconds = target.load.work_seconds()
        return relative_work * work_seconds + self.queue_bounds.seconds(
            service, state.rank, work_seconds
        )

    def _admit(
        self,
        state: attempts.CallState,
        target: registry.Target,
        paced: room.PacedCall,
        now: float,
    ) -> bool:
        """Returns whether the target can serve the call in time.

        If not, the result code and the retry time are set in the state.
        """
        service = state.service
        if not self._may_send_if_cold(service, target, now):
            state.latest_code = codes.ResultCode.OVERLOADED
            state.retry_after = COLD_RETRY_SECONDS
            return False
        if target.load.pause_seconds(now):
            state.latest_code = codes.ResultCode.OVERLOADED
            state.retry_after = target.load.pause_seconds(now)
            return False
        if state.is_keyed and target.load.unreachable_until > now:
            state.latest_code = codes.ResultCode.TARGET_REFUSED
            state.retry_after = attempts.NO_TARGET_RETRY_SECONDS
            return False
        relative_work = self._relative_work(state, target)
        expected_seconds = target.load.expected_seconds(
            target.listing.slots, now, relative_work
        )
        bound = self._latency_bound(state, target, relative_work, paced)
        nodes = self._view.node_count()
        is_full = not admission.has_spare_connection(
            target, service.max_connections, nodes
        )
        if is_full or admission.should_refuse(
            expected_seconds, bound, state.remaining_seconds()
        ):
            self._record_overload(
                state, target, paced, expected_seconds, bound, now
            )
            return False
        return not state.is_keyed or self._owner_has_room(
            state, target, paced, now
        )

    def _record_overload(
        self,
        state: attempts.CallState,
        target: registry.Target,
        paced: room.PacedCall,
        expected_seconds: float,
        bound: float,
        now: float,
    ) -> None:
        """Records that a target can't serve a call in time.

        Args:
            state: The call.
            target: The target.
            paced: What the admission of the call depends on.
            expected_seconds: How long the call would take at the target.
            bound: How long it may take.
            now: Monotonic time, in seconds.
        """
        service, route = state.service.name, state.route
        report_age = now - target.load.reported_at
        state.latest_code = codes.ResultCode.OVERLOADED
        state.lacks_room = True
        state.retry_after = admission.retry_after(
            expected_seconds, route.objective
        )
        if paced.is_new:
            self._metrics.count_lacking_room(service, route.urgency)
        if state.may_wait:
            state.lack = attempts.LackOfRoom(
                target.listing.target_id, expected_seconds, bound, report_age
            )
        elif paced.is_new:
            self._log.log_call(
                "call refused, target overloaded",
                call=state.call.call_id,
                service=service,
                target=target.listing.target_id,
                expected=round(expected_seconds, 3),
                relative_work=round(self._relative_work(state, target), 3),
                left=round(state.remaining_seconds(), 3),
                objective=route.objective,
                bound=round(bound, 3),
                report=repr(target.load.report),
                report_age=round(report_age, 3),
            )

    def _owner_has_room(
        self,
        state: attempts.CallState,
        target: registry.Target,
        paced: room.PacedCall,
        now: float,
    ) -> bool:
        """Returns whether the owner of a call's key has room for it."""
        load = target.load
        decision = self._room_keeper.admit_to_owner(
            paced,
            load.room,
            load.work_seconds() / max(target.listing.slots, 1),
            now,
        )
        return self._apply_decision(
            state,
            paced,
            decision,
            target.listing.target_id,
            now - load.reported_at,
        )
