"""Makes plans when they are due and writes them to the store."""

from jujubeyard.controller import config_store
from jujubeyard.controller import distribution
from jujubeyard.controller import metrics
from jujubeyard.controller import readiness
from jujubeyard.controller import tables
from jujubeyard.events import kinds
from jujubeyard.internal import process_runtime
from jujubeyard.internal import ticker
from jujubeyard.link import messages
from jujubeyard.plan import cluster_state
from jujubeyard.plan import planner
from jujubeyard.plan import tables as plan_tables

REBALANCE_INTERVAL_SECONDS = 2.0


class Planning:
    """Makes and writes plans while the controller ranks first.

    Attributes:
        readiness: Decides when the controller may plan.
    """

    def __init__(
        self,
        runtime: process_runtime.ProcessRuntime,
        controller_tables: tables.Tables,
        distributor: distribution.Distributor,
        writer: config_store.PlanWriter,
        controller_metrics: metrics.ControllerMetrics,
        tasks: ticker.BackgroundTasks,
        now: float,
    ):
        """Initializes the planning of a controller.

        Args:
            runtime: Runtime of the controller process.
            controller_tables: State that the controller has received.
            distributor: Installs and distributes the written plans.
            writer: Writes plans to the store.
            controller_metrics: Metrics of the controller.
            tasks: Background tasks of the process.
            now: The current time.
        """
        self.readiness = readiness.Readiness(now)
        self._runtime = runtime
        self._tables = controller_tables
        self._distributor = distributor
        self._writer = writer
        self._metrics = controller_metrics
        self._tasks = tasks
        self._next_rebalance = now + REBALANCE_INTERVAL_SECONDS
        self._last_inputs: tuple | None = None
        self._writing = False

    def has_quorum(self, now: float) -> bool:
        """Returns whether enough of the fleet is reachable to plan for it."""
        own = plan_tables.vm_of(self._runtime.identity.name)
        return readiness.has_quorum(
            self._distributor.installed.plan,
            self._tables.reachable_vms(now) | {own},
            self._tables.listed_vms(),
            self._tables.gone_vms(now),
        )

    def record_tick(self, now: float, seconds: float) -> None:
        """Records a tick, and delays planning if there is no quorum.

        Args:
            now: The current time.
            seconds: Tick interval.
        """
        self.readiness.record_tick(now, seconds)
        if not self.has_quorum(now):
            self.readiness.wait_for_renewals(now)

    def is_due(self, now: float) -> bool:
        """Returns whether a plan is due, if the controller ranks first."""
        installed = self._distributor.installed
        if self._writing or installed.config is None:
            return False
        return self.readiness.may_plan(now, installed.plan.version)

    def plan(self, now: float, controllers: list[messages.Heartbeat]) -> None:
        """Makes the next plan and, if it has changes, starts to write it.

        Args:
            now: The current time.
            controllers: Heartbeats of all live controllers, including this
                one.
        """
        state = self._make_state(now, controllers)
        if not self._has_new_inputs(state):
            return
        draft = planner.make_plan(self._distributor.installed.plan, state)
        if draft is None:
            return
        self._last_inputs = None
        self._writing = True
        self._tasks.spawn(self._write(draft))

    def _make_state(
        self, now: float, controllers: list[messages.Heartbeat]
    ) -> cluster_state.ClusterState:
        may_rebalance = now >= self._next_rebalance
        if may_rebalance:
            self._next_rebalance = now + REBALANCE_INTERVAL_SECONDS
        views = {
            heartbeat.witness: cluster_state.ControllerView(
                heartbeat.witness, heartbeat.zone, heartbeat.address
            )
            for heartbeat in controllers
        }
        return cluster_state.ClusterState(
            self._distributor.installed.config,
            self._tables.live_gates(now),
            views,
            self._tables.gone_vms(now),
            self._tables.shard_loads(now),
            may_rebalance,
        )

    def _has_new_inputs(self, state: cluster_state.ClusterState) -> bool:
        """Returns whether the plan may differ from that of the latest attempt.

        The inputs are kept for the next comparison.
        """
        inputs = (
            self._distributor.installed.plan.version,
            state.config.version,
            state.gates,
            state.controllers,
            state.gone,
        )
        if inputs == self._last_inputs and not state.may_rebalance:
            return False
        self._last_inputs = inputs
        return True

    async def _write(self, draft: plan_tables.Plan) -> None:
        try:
            written = await self._writer.write(draft)
        finally:
            self._writing = False
        if written.is_err() or written.ok_value is None:
            self._metrics.plan_writes.labels("unknown").inc()
            return
        self._distributor.install_plan(written.ok_value, True)
        latest_write = self._distributor.installed.plan.recent_writes[-1:]
        won = latest_write == draft.recent_writes[-1:]
        self._metrics.plan_writes.labels("won" if won else "lost").inc()
        if won:
            self._runtime.record(
                kinds.EventKind.PLAN_WRITTEN, version=draft.version
            )
