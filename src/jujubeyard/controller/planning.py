"""Makes plans when it is time, and writes them to the store."""

from jujubeyard.controller import config_store
from jujubeyard.controller import metrics
from jujubeyard.controller import readiness
from jujubeyard.controller import spread
from jujubeyard.controller import tables
from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.link import messages
from jujubeyard.plan import cluster_state
from jujubeyard.plan import planner
from jujubeyard.plan import tables as plan_tables

LEVEL_SECONDS = 2.0


class Planning:
    """A controller's planning, which is its to do while it ranks first.

    Attributes:
        ready: When it may plan.
    """

    def __init__(
        self,
        owner: process_runtime.ProcessRuntime,
        heard: tables.Tables,
        spreader: spread.Spreader,
        writer: config_store.PlanWriter,
        counted: metrics.ControllerMetrics,
        tasks: ticker.BackgroundTasks,
        now: float,
    ):
        """Creates the planning of a controller.

        Args:
            owner: The process.
            heard: What the controller has heard.
            spreader: Installs what was written.
            writer: Writes to the store.
            counted: Metrics.
            tasks: Background tasks of the process.
            now: The time.
        """
        self.ready = readiness.Readiness(now)
        self._runtime = owner
        self._heard = heard
        self._spreader = spreader
        self._writer = writer
        self._metrics = counted
        self._tasks = tasks
        self._next_level = now + LEVEL_SECONDS
        self._planned_from: tuple | None = None
        self._writing = False

    def hears_enough(self, now: float) -> bool:
        """Returns whether enough of the fleet is heard to plan for it."""
        own = plan_tables.vm_of(self._runtime.identity.name)
        return readiness.hears_enough(
            self._spreader.known.plan,
            self._heard.heard_vms(now) | {own},
            self._heard.listed_vms(),
            self._heard.gone_vms(now),
        )

    def notice_tick(self, now: float, seconds: float) -> None:
        """Notes a tick, and whether enough is heard in it.

        Args:
            now: The time.
            seconds: Length of a tick.
        """
        self.ready.notice_tick(now, seconds)
        if not self.hears_enough(now):
            self.ready.hear_again(now)

    def is_due(self, now: float) -> bool:
        """Returns whether to plan now, if the controller ranks first."""
        known = self._spreader.known
        if self._writing or known.config is None:
            return False
        return self.ready.may_plan(now, known.plan.version)

    def plan(self, now: float, controllers: list[messages.Heartbeat]) -> None:
        """Makes the next plan and starts to write it, if anything changes.

        Args:
            now: The time.
            controllers: Heartbeats of all that are alive, its own included.
        """
        seen = self._observe(now, controllers)
        if not self._is_news(seen):
            return
        draft = planner.make_plan(self._spreader.known.plan, seen)
        if draft is None:
            return
        self._planned_from = None
        self._writing = True
        self._tasks.spawn(self._write(draft))

    def _observe(
        self, now: float, controllers: list[messages.Heartbeat]
    ) -> cluster_state.ClusterState:
        may_rebalance = now >= self._next_level
        if may_rebalance:
            self._next_level = now + LEVEL_SECONDS
        views = {
            beat.witness: cluster_state.ControllerView(
                beat.witness, beat.zone, beat.address
            )
            for beat in controllers
        }
        return cluster_state.ClusterState(
            self._spreader.known.config,
            self._heard.live_gates(now),
            views,
            self._heard.gone_vms(now),
            self._heard.shard_loads(now),
            may_rebalance,
        )

    def _is_news(self, seen: cluster_state.ClusterState) -> bool:
        """Returns whether a plan may differ from the latest attempt."""
        news = (
            self._spreader.known.plan.version,
            seen.config.version,
            seen.gates,
            seen.controllers,
            seen.gone,
        )
        if news == self._planned_from and not seen.may_rebalance:
            return False
        self._planned_from = news
        return True

    async def _write(self, draft: plan_tables.Plan) -> None:
        try:
            written = await self._writer.write(draft)
        finally:
            self._writing = False
        if written.is_err() or written.ok_value is None:
            self._metrics.plan_writes.labels("unknown").inc()
            return
        self._spreader.install_plan(written.ok_value, True)
        latest = self._spreader.known.plan.recent_writes[-1:]
        won = latest == draft.recent_writes[-1:]
        self._metrics.plan_writes.labels("won" if won else "lost").inc()
        if won:
            self._runtime.record(
                kinds.EventKind.PLAN_WRITTEN, version=draft.version
            )
