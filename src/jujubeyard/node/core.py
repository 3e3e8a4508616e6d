"""Starts a node, runs it until SIGTERM, and lets it leave."""

import asyncio
import collections.abc
import gc
import os
import pathlib
import signal
import sys
import time

from jujubeyard import context
from jujubeyard import errors
from jujubeyard import status
from jujubeyard.internal import command
from jujubeyard.node import following
from jujubeyard.node import forward
from jujubeyard.node import journal
from jujubeyard.node import metrics
from jujubeyard.node import reporting
from jujubeyard.node import server
from jujubeyard.node import settings
from jujubeyard.node import sightings
from jujubeyard.node import surroundings
from jujubeyard.node import tasks
from jujubeyard.node import upstream
from jujubeyard.node import view
from jujubeyard.ownership import courier
from jujubeyard.ownership import leader
from jujubeyard.ownership import table
from jujubeyard.platform import decoder
from jujubeyard.platform import documents
from jujubeyard.platform import headers
from jujubeyard.platform import store
from jujubeyard.platform import target_client
from jujubeyard.store import health
from jujubeyard.store import mirror

PROGRAM = "jujubeyard-node"
GARBAGE_THRESHOLD = 20_000
STORE_CALL_SECONDS = 0.5
WATCH_SLACK_SECONDS = 0.6
ROTATION_SECONDS = 2.3
"""Time in which the balancer notices that the node isn't ready."""

REFUSAL_SECONDS = 3.0
"""Time after which a leaving node refuses what it may not finish."""

END_MARGIN_SECONDS = 0.5
LEAVING_TICK_SECONDS = 0.05
HOUSEKEEPING_SECONDS = 5.0
TASK_PAUSE_SECONDS = 0.2
OPERATOR_BATCH_SECONDS = 0.4
TARGETS_BATCH_SECONDS = 0.5
FLEET_BATCH_SECONDS = 0.3
"""Pauses after changes, so that changes in quick succession share a call."""


def main(
    args: list[str] | None = None, env: context.Environment | None = None
) -> status.ExitStatus:
    """Runs the program."""
    env = env or context.Environment()

    def serve(settings_file: str, check: bool = False) -> status.ExitStatus:
        """Serves until SIGTERM.

        Args:
            settings_file: Path of the TOML settings file.
            check: Only check the settings, then exit.
        """
        path = env.config_dir / pathlib.Path(str(settings_file))
        cfg = settings.read(path)
        if not check:
            asyncio.run(_serve(cfg, path, env))
        return status.ExitStatus.SUCCESS

    args = sys.argv[1:] if args is None else args
    return command.run_command(PROGRAM, serve, args, env)


async def _serve(
    cfg: settings.NodeSettings, path: pathlib.Path, env: context.Environment
) -> None:
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    stop = asyncio.Event()
    output = journal.Output(env.stdout.fileno())
    notes = journal.Journal(output, cfg.node)
    journal.capture_libraries(notes)
    node = Node(cfg, notes)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, notes)
    notes.note("start", zone=cfg.zone, listen=str(cfg.listen))
    await node.start()
    await stop.wait()
    notes.note("leaving", active=node.active_calls())
    await node.leave()
    notes.note("stop", active=node.active_calls(), dropped=output.dropped)
    output.flush()
    env.stdout.flush()
    os._exit(status.ExitStatus.SUCCESS)


def _reload(path: pathlib.Path, notes: journal.Journal) -> None:
    """Reads the settings again; what is bound at the start stays."""
    try:
        settings.read(path)
    except errors.SettingsError as exc:
        notes.note("settings not reloaded", detail=exc.message)
        return
    notes.note("settings reloaded")


class Node:
    """The parts of a node, put together."""

    def __init__(self, cfg: settings.NodeSettings, notes: journal.Journal):
        self._cfg = cfg
        self._notes = notes
        self._metrics = metrics.Metrics()
        names = headers.NAMES
        prefixes = decoder.PREFIXES
        self._view = view.View(
            prefixes,
            decoder.decode_item,
            decoder.change_for_malformed_item,
            notes,
        )
        self._store_session = upstream.make_session(names, force_close=False)
        self._order_session = upstream.make_session(names, force_close=False)
        self._store = store.PlatformStore(
            str(cfg.store),
            self._store_session,
            STORE_CALL_SECONDS,
            WATCH_SLACK_SECONDS,
        )
        self._leadership = leader.Leadership(
            self._store, prefixes.fleet, str(cfg.reports), notes
        )
        self._view.follow_leader(self._leadership)
        store_health = health.Health(
            self._view.note_store_lost, self._view.note_store_regained
        )
        self._presence = tasks.Presence(
            self._store,
            self._view.node_key(cfg.node),
            cfg.node,
            store_health,
            notes,
        )
        self._mirrors = [
            mirror.Mirror(self._store, prefix, self._view, store_health, pause)
            for prefix, pause in (
                (prefixes.operator, OPERATOR_BATCH_SECONDS),
                (prefixes.targets, TARGETS_BATCH_SECONDS),
                (prefixes.fleet, FLEET_BATCH_SECONDS),
            )
        ]
        around = surroundings.Surroundings(self._view)
        carrier = courier.Courier(
            self._store,
            self._order_session,
            target_client.TargetClient(self._health_path),
            self._view.table_key,
            self._take_written,
            notes,
        )
        self._follower = following.TableFollower(
            self._view,
            carrier.read_table,
            self._leadership.is_certain,
            self._mirrors,
        )
        self._reporter = reporting.Reporter(
            self._find_leader,
            around.take_report,
            self._follower.take_update,
            self._follower.take_beacon,
            self._follower.make_beacon,
            sightings.Sightings(self._view.registry),
            notes,
        )
        self._key_keeping = tasks.KeyKeeping(
            self._leadership,
            self._view,
            around,
            carrier,
            self._mirrors,
            cfg.limits.max_hold,
        )
        self._upstreams = upstream.Upstreams(names)
        self._forwarder = forward.Forwarder(
            cfg,
            self._view,
            self._upstreams,
            names,
            documents.parse_load_report,
            self._metrics,
            notes,
            self._reporter,
        )
        self._server = server.CallerServer(self._forwarder.serve, names)
        self._tasks: list[asyncio.Task] = []
        self._is_leaving = False

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return not self._is_leaving and self._view.routes is not None

    def active_calls(self) -> int:
        """Returns the number of calls that are being served."""
        return self._server.active

    async def start(self) -> None:
        """Starts to serve."""
        cfg = self._cfg
        await self._server.start(cfg.listen)
        readiness = server.ReadinessServer(
            headers.READINESS_PATH, self.is_ready
        )
        await readiness.start(cfg.readiness)
        await server.MetricsServer(self._metrics.render).start(cfg.metrics)
        await self._reporter.start(cfg.reports)
        for run in (
            *(each.run for each in self._mirrors),
            self._follower.run,
            self._leadership.run,
            self._presence.run,
            self._key_keeping.run,
            self._reporter.run,
            self._keep_house,
        ):
            self._start(run)

    async def leave(self) -> None:
        """Serves what has been read, then ends, within the time allowed."""
        began = time.monotonic()
        self._is_leaving = True
        self._server.is_leaving = True
        await asyncio.gather(self._leadership.resign(), self._presence.end())
        await asyncio.sleep(began + ROTATION_SECONDS - time.monotonic())
        await self._leadership.resign()
        end = began + self._cfg.limits.shutdown - END_MARGIN_SECONDS
        await self._wait_until_quiet(min(began + REFUSAL_SECONDS, end))
        self._server.is_refusing = True
        await self._wait_until_quiet(end)
        await self._server.stop_listening()
        self._server.close_idle()
        await self._wait_until_quiet(end)

    async def _wait_until_quiet(self, end: float) -> None:
        while time.monotonic() < end and not self._server.is_quiet():
            await asyncio.sleep(LEAVING_TICK_SECONDS)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._view.registry.forget_old(time.monotonic())
            self._forwarder.owners.forget()

    def _start(
        self,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._supervise(run))
        self._tasks.append(task)

    async def _supervise(self, run) -> None:
        """Runs a task for ever; a fault costs it a pause."""
        while True:
            try:
                await run()
            except Exception as exc:
                self._notes.note(
                    "task failed", task=run.__qualname__, detail=repr(exc)
                )
            await asyncio.sleep(TASK_PAUSE_SECONDS)

    def _take_written(self, written: table.ShardTable) -> None:
        """Takes a table that this node has written, and spreads it."""
        known = self._view.tables.get(written.service)
        if known is not None and known.revision >= written.revision:
            return
        self._view.take_table(written)
        if known is not None:
            self._reporter.spread(table.compare(known, written))

    def _find_leader(self) -> settings.Address | None:
        if not self._leadership.address:
            return None
        try:
            return settings.parse_address(self._leadership.address)
        except ValueError:
            return None

    def _health_path(self, service: str) -> str:
        if self._view.routes is None:
            return "/"
        found = self._view.routes.configuration.services.get(service)
        return found.health_path if found else "/"
