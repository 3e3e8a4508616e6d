"""Selects the target for a call, or decides that none admits it."""

import random
import time

from jujubeyard import codes
from jujubeyard.node import attempts
from jujubeyard.node import cluster_view
from jujubeyard.node import journal
from jujubeyard.node import owners
from jujubeyard.node import settings
from jujubeyard.routing import admission
from jujubeyard.routing import balancing
from jujubeyard.routing import bounds
from jujubeyard.routing import coldstart
from jujubeyard.routing import config
from jujubeyard.scheduling import queue_bounds
from jujubeyard.targets import loads
from jujubeyard.targets import registry

COLD_RETRY_SECONDS = 0.5


class TargetSelector:
    """Selects targets among those that the node's view lists.

    Attributes:
        queue_bounds: Bounds on the queues at targets where calls wait at the
            node.
        route_work: Processing times of calls by service and route.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        view: cluster_view.ClusterView,
        owner_lookup: owners.OwnerLookup,
        log: journal.Journal,
    ):
        """Initializes the selector.

        Args:
            cfg: Settings of the node.
            view: Routes, targets, shard tables and other nodes.
            owner_lookup: Finds the owners of keys.
            log: Log of refused calls.
        """
        self._cfg = cfg
        self._view = view
        self._owner_lookup = owner_lookup
        self._log = log
        rate_limit = coldstart.ColdRateLimit(
            cfg.limits.cold_factor, cfg.limits.cold_slack
        )
        self._cold_start_limiter = coldstart.ColdStartLimiter(
            cfg.node, rate_limit
        )
        self._rng = random.Random()
        self._call_bounds = bounds.CallBounds()
        self.queue_bounds = queue_bounds.QueueBounds()
        self.route_work = loads.RouteWork()

    def record_call(self, target: registry.Target, now: float) -> None:
        """Records that a call is being sent to a target.

        Args:
            target: The target.
            now: Monotonic time, in seconds.
        """
        if target.is_cold(now):
            self._cold_start_limiter.record_call(target.listing.target_id, now)

    def record_work(self, state: attempts.CallState, seconds: float) -> None:
        """Records the processing time of a successful call, in seconds."""
        self.route_work.observe(state.service.name, state.route.name, seconds)

    async def select(self, state: attempts.CallState) -> registry.Target | None:
        """Returns the target for the next attempt at a call.

        Args:
            state: The call; if no target admits it, its latest code and the
                time until a retry say why.
        """
        if state.is_keyed:
            target = await self._owner_lookup.find_owner(state)
        else:
            target = self._choose_pooled_target(state)
        if target is None:
            return None
        now = time.monotonic()
        if not self._admit(state, target, now):
            return None
        return target

    def _choose_pooled_target(
        self, state: attempts.CallState
    ) -> registry.Target | None:
        """Returns the best target for a call that any target may serve."""
        now = time.monotonic()
        nodes = self._view.node_count()
        limit = state.service.max_connections
        candidates = [
            target
            for target in self._view.registry.service_targets(
                state.service.name
            )
            if target.listing.target_id not in state.tried_targets
            and self._view.registry.is_available(target, now)
            and not target.load.pause_seconds(now)
            and admission.has_spare_connection(target, limit, nodes)
            and self._may_send_if_cold(state.service, target, now)
        ]
        target = balancing.choose_target(
            candidates, self._cfg.zone, nodes, now, self._rng
        )
        if target is None and not state.tried_targets:
            state.latest_code = codes.ResultCode.NO_TARGET
            state.retry_after = max(
                attempts.NO_TARGET_RETRY_SECONDS,
                self._shortest_pause(state.service.name, now),
            )
        return target

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

    def _latency_bound(
        self,
        state: attempts.CallState,
        target: registry.Target,
        relative_work: float,
    ) -> float:
        """Returns how long a call may take at a target, in seconds."""
        service = state.service.name
        if not state.may_wait:
            return self._call_bounds.observe(service, state.route.objective)
        work_seconds = target.load.work_seconds()
        return relative_work * work_seconds + self.queue_bounds.seconds(
            service, state.rank, work_seconds
        )

    def _admit(
        self, state: attempts.CallState, target: registry.Target, now: float
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
        relative_work = self.route_work.relative_work(
            service.name, state.route.name, target.load.service_work.mean()
        )
        expected_seconds = target.load.expected_seconds(
            target.listing.slots, now, relative_work
        )
        objective = state.route.objective
        bound = self._latency_bound(state, target, relative_work)
        nodes = self._view.node_count()
        is_full = not admission.has_spare_connection(
            target, service.max_connections, nodes
        )
        if is_full or admission.should_refuse(
            expected_seconds, bound, state.remaining_seconds()
        ):
            state.lacks_room = True
            state.latest_code = codes.ResultCode.OVERLOADED
            state.retry_after = admission.retry_after(
                expected_seconds, objective
            )
            if state.may_wait:
                state.lack = attempts.LackOfRoom(
                    target.listing.target_id,
                    expected_seconds,
                    bound,
                    now - target.load.reported_at,
                )
                return False
            self._log.log_call(
                "call refused, target overloaded",
                call=state.call.call_id,
                service=service.name,
                target=target.listing.target_id,
                expected=round(expected_seconds, 3),
                relative_work=round(relative_work, 3),
                left=round(state.remaining_seconds(), 3),
                objective=objective,
                bound=round(bound, 3),
                report=repr(target.load.report),
                report_age=round(now - target.load.reported_at, 3),
            )
            return False
        return True
