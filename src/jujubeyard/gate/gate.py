"""The gate, which is the only sender to each target that it holds."""

import asyncio
import functools

from jujubeyard import clock
from jujubeyard import settings
from jujubeyard.gate import acquire
from jujubeyard.gate import admit
from jujubeyard.gate import dispatch
from jujubeyard.gate import install
from jujubeyard.gate import lifecycle
from jujubeyard.gate import metrics
from jujubeyard.gate import probe
from jujubeyard.gate import release
from jujubeyard.gate import report
from jujubeyard.gate import state
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.link import link
from jujubeyard.link import messages
from jujubeyard.link import pool
from jujubeyard.link import server
from jujubeyard.plan import follower

TICK_SECONDS = 0.02
IDLE_TICK_SECONDS = 0.125
"""Tick length while no call runs and no handover is under way."""

MAX_CONTROLLERS = 32
SHUTDOWN_POLL_SECONDS = 0.02
GAUGE_INTERVAL_SECONDS = 1.0


class Gate:
    """One gate process."""

    def __init__(
        self,
        cfg: settings.GateSettings,
        runtime: process_runtime.ProcessRuntime,
    ):
        plan_follower = follower.Follower(
            runtime,
            list(cfg.controllers),
            MAX_CONTROLLERS,
            self._install,
            self.handle,
        )
        self.state = state.GateState(
            cfg,
            runtime,
            metrics.GateMetrics(runtime.registry),
            plan_follower,
            pool.LinkPool(runtime.identity, self.handle, runtime.faults),
            ticker.BackgroundTasks(runtime.logger),
        )
        self._reporter = report.Reporter(self.state)
        self._next_gauge_update = 0.0
        self._server = server.LinkServer(
            runtime.identity, self.handle, runtime.faults
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until the stop event is set, then hands over all targets."""
        gate = self.state
        await self._server.start(gate.cfg.listen)
        steps = (
            gate.follower.maintain_links,
            self._reporter.renew,
            self._reporter.record_lease_change,
            functools.partial(acquire.acquire_targets, gate),
            functools.partial(probe.probe_targets, gate),
            functools.partial(acquire.acquire_shards, gate),
            functools.partial(dispatch.expire_waiting, gate),
            self._drop_released_targets,
            self._update_gauges,
        )
        ticks = ticker.Ticker(
            TICK_SECONDS, steps, clock.boottime, gate.runtime.logger
        )
        ticks.set_idle_interval(IDLE_TICK_SECONDS, self._is_idle)
        gate.wake = ticks.wake
        gate.tasks.spawn(ticks.run())
        await stop.wait()
        await self._hand_over()
        await self._close()

    def read_status(self) -> dict:
        """Returns the status document of the admin port."""
        gate = self.state
        now = clock.boottime()
        return {
            "plan_version": gate.follower.plan_version,
            "config_version": gate.follower.config_version,
            "lease_seconds": round(gate.lease.valid_until - now, 3),
            "settled_version": self._reporter.settled_version(),
            "leaving": gate.leaving,
            "targets": {
                row.name: {
                    "state": row.lifecycle.state,
                    "limit": row.ramp.limit,
                    "used": row.used_slots(now),
                }
                for row in gate.targets.values()
            },
            "shards": len(gate.shards),
            "active_shards": sum(s.is_active for s in gate.shards.values()),
            "queued": {
                name: len(row.waiting) for name, row in gate.queues.items()
            },
            "remembered_ids": len(gate.ids),
            "hedged": gate.hedge_budget.spent,
        }

    def handle(self, peer: link.Link, message: messages.Message) -> None:
        """Handles a message received over a link."""
        _handle_message(message, self, peer)
        if not isinstance(message, messages.Promise):
            self.state.wake()

    def handle_promise(self, promise: messages.Promise) -> None:
        """Handles a controller's reply to a lease renewal."""
        self._reporter.handle_promise(promise)

    def _install(self) -> None:
        install.apply_plan(self.state)
        self.state.wake()
        now = clock.boottime()
        acquire.acquire_targets(self.state, now)
        acquire.acquire_shards(self.state, now)

    def _is_idle(self) -> bool:
        gate = self.state
        if (
            gate.calls
            or gate.has_inactive_shards
            or gate.renew_now
            or gate.leaving
        ):
            return False
        return all(row.is_stable() for row in gate.targets.values())

    def _drop_released_targets(self, now: float) -> None:
        del now
        install.drop_released_targets(self.state)

    async def _hand_over(self) -> None:
        """Waits until other gates hold all targets and all calls have ended."""
        gate = self.state
        gate.leaving = True
        gate.renew_now = True
        deadline = clock.boottime() + gate.cfg.shutdown_seconds
        while clock.boottime() < deadline:
            if (
                not gate.calls
                and not gate.targets
                and self._is_absent_from_plan()
            ):
                return
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
        gate.runtime.logger.warning(
            "handover not finished within shutdown_seconds; refusing new calls"
        )
        gate.rejects_calls = True
        while gate.calls:
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)

    def _is_absent_from_plan(self) -> bool:
        """Returns whether no holding of the plan names this gate any more."""
        plan = self.state.follower.plan
        if plan is None:
            return True
        holder = self.state.holder
        return not any(
            holder == row.gate or holder in row.previous
            for row in plan.holdings.values()
        )

    async def _close(self) -> None:
        gate = self.state
        await gate.tasks.cancel()
        for row in gate.targets.values():
            await row.upstream.close()
        await gate.follower.pool.stop()
        await gate.gate_links.stop()
        await self._server.stop()

    def _update_gauges(self, now: float) -> None:
        if now < self._next_gauge_update:
            return
        self._next_gauge_update = now + GAUGE_INTERVAL_SECONDS
        gate = self.state
        counts = dict.fromkeys(
            (
                lifecycle.ACQUIRING,
                lifecycle.HELD,
                lifecycle.LOST,
                lifecycle.RELEASING,
            ),
            0,
        )
        for row in gate.targets.values():
            counts[row.lifecycle.state] += 1
        for name, count in counts.items():
            gate.metrics.held.labels(name).set(count)
        for name, row in gate.queues.items():
            gate.metrics.queued.labels(name).set(len(row.waiting))
        gate.metrics.ids.set(len(gate.ids))
        gate.metrics.lease.set(max(0.0, gate.lease.valid_until - now))


@functools.singledispatch
def _handle_message(message, gate: Gate, peer: link.Link) -> None:
    """Handles a message; types without a handler are ignored."""
    del message, gate, peer


@_handle_message.register
def _(call: messages.Call, gate: Gate, peer: link.Link) -> None:
    admit.admit(gate.state, peer, call)


@_handle_message.register
def _(request: messages.CancelCall, gate: Gate, peer: link.Link) -> None:
    row = gate.state.calls.get((id(peer), request.query))
    if row is not None:
        dispatch.cancel_call(gate.state, row)


@_handle_message.register
def _(promise: messages.Promise, gate: Gate, peer: link.Link) -> None:
    del peer
    gate.handle_promise(promise)


@_handle_message.register
def _(request: messages.ReleaseTarget, gate: Gate, peer: link.Link) -> None:
    peer.send(release.release_target(gate.state, request))


@_handle_message.register
def _(request: messages.ReleaseShards, gate: Gate, peer: link.Link) -> None:
    peer.send(release.release_shards(gate.state, request))
