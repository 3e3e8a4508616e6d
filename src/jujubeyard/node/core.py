"""Starts a node, runs it until SIGTERM, and shuts it down gracefully."""

import asyncio
import collections.abc
import gc
import os
import pathlib
import signal
import sys
import time

from jujubeyard import connections
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import losses
from jujubeyard import memory
from jujubeyard import status
from jujubeyard.internal import command
from jujubeyard.node import cluster_view
from jujubeyard.node import forward
from jujubeyard.node import journal
from jujubeyard.node import load_exchange
from jujubeyard.node import metrics
from jujubeyard.node import placement_inputs
from jujubeyard.node import reporting
from jujubeyard.node import server
from jujubeyard.node import settings
from jujubeyard.node import table_sync
from jujubeyard.node import tasks
from jujubeyard.node import upstream
from jujubeyard.ownership import fences
from jujubeyard.ownership import leader
from jujubeyard.ownership import ownership_client
from jujubeyard.ownership import table
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.platform import target_client
from jujubeyard.store import era_store
from jujubeyard.store import eras
from jujubeyard.store import health
from jujubeyard.store import mirror

PROGRAM = "jujubeyard-node"
GC_THRESHOLD = 20_000
PEERS_MEMORY_SHARE = 0.3
"""Share of the memory for all that is held for callers and targets. On the
smallest VMs, a node without calls uses a third."""

STORE_CALL_TIMEOUT_SECONDS = 0.5
STORE_READ_TIMEOUT_SECONDS = 3.0
READINESS_NOTICE_SECONDS = 2.3
"""Time within which the balancer stops sending callers to a node that isn't
ready."""

REFUSE_AFTER_SECONDS = 3.0
"""How long after SIGTERM calls are still accepted at most; a later call might
not finish before the node exits."""

EXIT_MARGIN_SECONDS = 0.5
LAST_ANSWER_SECONDS = 0.2
"""Time for sending the last answers within the margin before the exit."""

SHUTDOWN_POLL_SECONDS = 0.05
CLEANUP_INTERVAL_SECONDS = 5.0
TASK_RESTART_SECONDS = 0.2
OPERATOR_BATCH_SECONDS = 0.4
TARGETS_BATCH_DRAIN_SHARE = 0.25
"""Delay after a change of the targets, as a share of the drain limit. Targets
that are cold update their listings each second."""

FLEET_BATCH_SECONDS = 0.3
"""Delays after a change in the store, so that changes in quick succession are
read with one store call."""


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the program.

    Args:
        args: Command line arguments; None for those of the process.
        env: Environment of the program; None for that of the process.

    Returns:
        The exit status.
    """
    env = env or context.Environment()

    def serve(settings_file: str, check: bool = False) -> status.ExitStatus:
        """Serves until SIGTERM.

        Args:
            settings_file: Path of the TOML settings file.
            check: Only check the settings, then exit.
        """
        path = env.config_dir / pathlib.Path(str(settings_file))
        cfg = settings.read_settings(path)
        if not check:
            asyncio.run(_run_node(cfg, path, env))
        return status.ExitStatus.SUCCESS

    args = sys.argv[1:] if args is None else args
    return command.run_command(PROGRAM, serve, args, env)


async def _run_node(
    cfg: settings.NodeSettings, path: pathlib.Path, env: context.Environment
) -> None:
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    stop = asyncio.Event()
    writer = journal.NonBlockingWriter(env.stdout.fileno())
    log = journal.Journal(writer, cfg.node)
    journal.capture_library_logs(log)
    node = Node(cfg, log)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path, log)
    log.log_event("start", zone=cfg.zone, listen=str(cfg.listen))
    await node.start()
    await stop.wait()
    log.log_event("leaving", active=node.active_calls())
    await node.shut_down()
    log.log_event(
        "stop", active=node.active_calls(), dropped=writer.dropped_lines
    )
    writer.flush()
    env.stdout.flush()
    os._exit(status.ExitStatus.SUCCESS)


async def _wait_until(
    is_reached: collections.abc.Callable[[], bool], deadline: float
) -> None:
    """Waits for a state, but not beyond a deadline on the steady clock."""
    while time.monotonic() < deadline and not is_reached():
        await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def _check_settings(path: pathlib.Path, log: journal.Journal) -> None:
    """Validates the settings file on SIGHUP.

    The settings that were read at the start stay in force.
    """
    try:
        settings.read_settings(path)
    except errors.SettingsError as exc:
        log.log_event("settings not reloaded", detail=exc.message)
        return
    log.log_event("settings reloaded")


class Node:
    """A node: creates its components and runs them until it shuts down."""

    def __init__(self, cfg: settings.NodeSettings, log: journal.Journal):
        self._cfg = cfg
        self._log = log
        self._metrics = metrics.Metrics()
        header_names = headers.NAMES
        prefixes = decoder.PREFIXES
        self._view = cluster_view.ClusterView(
            prefixes,
            decoder.decode_item,
            decoder.change_for_malformed_item,
            log,
        )
        self._metrics.watch_unreadable(self._view.count_unreadable)
        self._store_session = connections.make_session(
            header_names.call_id, force_close=False
        )
        loss_tracker = losses.LossTracker()
        self._request_session = connections.make_session(
            header_names.call_id, force_close=False, loss_tracker=loss_tracker
        )
        self._release_session = connections.make_session(
            header_names.call_id, force_close=True
        )
        self._era_tracker = eras.EraTracker(log)
        self._metrics.watch_eras(self._era_tracker)
        self._store = era_store.EraStore(
            store.PlatformStore(
                str(cfg.store),
                self._store_session,
                STORE_CALL_TIMEOUT_SECONDS,
                STORE_READ_TIMEOUT_SECONDS,
                self._era_tracker,
            ),
            self._era_tracker,
        )
        self._leadership = leader.Leadership(
            self._store,
            prefixes.fleet,
            str(cfg.reports),
            log,
            self._era_tracker,
            fences.EraEntries(
                self._store, self._era_tracker, prefixes.eras, prefixes.tables
            ),
        )
        self._view.set_leadership(self._leadership)
        self._era_tracker.add_listener(self._view.begin_era)
        store_health = health.Health(
            self._view.on_store_lost, self._view.on_store_recovered
        )
        self._registration = tasks.NodeRegistration(
            self._store,
            self._view.node_key(cfg.node),
            cfg.node,
            store_health,
            log,
        )
        self._mirrors = [
            mirror.Mirror(
                self._store, prefix, self._view, store_health, pause, log
            )
            for prefix, pause in (
                (prefixes.operator, OPERATOR_BATCH_SECONDS),
                (
                    prefixes.targets,
                    TARGETS_BATCH_DRAIN_SHARE * cfg.limits.drain,
                ),
                (prefixes.fleet, FLEET_BATCH_SECONDS),
            )
        ]
        operator_mirror = self._mirrors[0]
        self._view.set_configuration_check(operator_mirror.is_behind)
        inputs = placement_inputs.PlacementInputs(self._view)
        coordinator_client = ownership_client.OwnershipClient(
            self._store,
            self._request_session,
            self._release_session,
            target_client.TargetClient(self._health_path),
            self._view.table_key,
            self._publish_written_table,
            log,
            loss_tracker,
        )
        self._table_synchronizer = table_sync.TableSynchronizer(
            self._view,
            coordinator_client.read_table,
            self._leadership.is_leader,
            self._mirrors,
            self._era_tracker,
        )
        self._reporter = reporting.Reporter(
            self._leader_address,
            inputs.handle_report,
            self._table_synchronizer.handle_update,
            self._table_synchronizer.handle_beacon,
            self._table_synchronizer.make_beacon,
            load_exchange.LoadExchange(self._view.registry),
            log,
            self._view.node_count,
        )
        self._coordinator_runner = tasks.CoordinatorRunner(
            self._leadership,
            self._view,
            inputs,
            coordinator_client,
            self._mirrors,
            cfg.limits.max_hold,
            self._metrics,
            self._era_tracker,
        )
        budget = memory.MemoryBudget(
            int(PEERS_MEMORY_SHARE * cfg.limits.memory_bytes),
            self._metrics.count_memory_refusal,
        )
        self._metrics.watch_memory(lambda: budget.held_bytes)
        self._upstream_client = upstream.UpstreamClient(header_names, budget)
        self._forwarder = forward.Forwarder(
            cfg,
            self._view,
            self._upstream_client,
            header_names,
            documents.parse_load_report,
            self._metrics,
            log,
            self._reporter,
        )
        self._server = server.CallerServer(
            self._forwarder.serve,
            header_names,
            log,
            self._forwarder.is_idempotent,
            budget,
        )
        self._tasks: list[asyncio.Task] = []
        self._is_shutting_down = False

    def is_ready(self) -> bool:
        """Returns whether the balancer may send callers to this node."""
        return not self._is_shutting_down and self._view.routes is not None

    def active_calls(self) -> int:
        """Returns the number of calls in progress."""
        return self._server.active

    async def start(self) -> None:
        """Starts the servers and the background tasks."""
        cfg = self._cfg
        await self._server.start(cfg.listen)
        readiness = server.ReadinessServer(
            headers.READINESS_PATH, self.is_ready
        )
        await readiness.start(cfg.readiness)
        await server.MetricsServer(self._metrics.render).start(cfg.metrics)
        await self._reporter.start(cfg.reports)
        for run in (
            *(store_mirror.run for store_mirror in self._mirrors),
            self._table_synchronizer.run,
            self._leadership.run,
            self._registration.run,
            self._coordinator_runner.run,
            self._reporter.run,
            self._remove_expired,
        ):
            self._start_task(run)

    async def shut_down(self) -> None:
        """Finishes the calls in progress within the shutdown limit.

        Calls are still accepted until the balancer has noticed that the node
        isn't ready, and are refused afterwards. What is in progress at the end
        of the limit is answered with an unknown outcome; an answer that has
        begun is broken off by a reset, so that it doesn't look complete. The
        node stays until its callers have taken their answers, within the limit.
        """
        started_at = time.monotonic()
        self._is_shutting_down = True
        self._server.begin_shutdown()
        await asyncio.gather(
            self._leadership.resign(), self._registration.end()
        )
        await asyncio.sleep(
            started_at + READINESS_NOTICE_SECONDS - time.monotonic()
        )
        await self._leadership.resign()
        stop_by = started_at + self._cfg.limits.shutdown - EXIT_MARGIN_SECONDS
        refuse_at = min(started_at + REFUSE_AFTER_SECONDS, stop_by)
        await _wait_until(self._server.is_idle, refuse_at)
        self._server.is_refusing_calls = True
        self._forwarder.waiting_room.close()
        await _wait_until(self._server.is_idle, stop_by)
        await self._server.stop_listening()
        self._server.end_calls()
        self._server.close_idle_connections()
        last_answers_by = max(stop_by, time.monotonic()) + LAST_ANSWER_SECONDS
        await _wait_until(self._server.is_done, last_answers_by)
        self._server.end_answers()

    async def _remove_expired(self) -> None:
        """Periodically drops removed targets and expired moved-shard marks."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            now = time.monotonic()
            self._view.registry.purge_removed(now)
            self._record_room(now)
            self._forwarder.owner_lookup.remove_expired_marks()

    def _record_room(self, now: float) -> None:
        """Updates the metrics of the room at targets."""
        targets = self._view.registry
        for service, limit in targets.queue_limits.items():
            refusing = sum(
                target.load.room.refusal.is_refusing(now)
                for target in targets.service_targets(service)
            )
            self._metrics.set_room(service, limit.current(now), refusing)

    def _start_task(
        self,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._supervise(run))
        self._tasks.append(task)

    async def _supervise(self, run) -> None:
        """Runs a background task, and restarts it after a pause if it fails."""
        while True:
            try:
                await run()
            except Exception as exc:
                self._log.log_event(
                    "task failed", task=run.__qualname__, detail=repr(exc)
                )
            await asyncio.sleep(TASK_RESTART_SECONDS)

    def _publish_written_table(self, written: table.ShardTable) -> None:
        """Applies a table that this node has written, and sends it to others.

        Nodes that report to this one receive the difference from the table
        that this node used before.
        """
        current = self._view.tables.get(written.service)
        if current is not None and current.revision >= written.revision:
            return
        self._view.apply_table(written)
        if current is not None:
            self._reporter.broadcast_update(table.compare(current, written))

    def _leader_address(self) -> settings.Address | None:
        """Returns where the leader receives reports, if that is known."""
        if not self._leadership.address:
            return None
        try:
            return settings.parse_address(self._leadership.address)
        except ValueError:
            return None

    def _health_path(self, service: str) -> str:
        """Returns the path of a service's health check."""
        if self._view.routes is None:
            return "/"
        configured = self._view.routes.configuration.services.get(service)
        return configured.health_path if configured else "/"
