"""The operators' commands."""

import asyncio
import pathlib

import jujubeyard
from jujubeyard import codes
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import settings
from jujubeyard import status as statuses
from jujubeyard.cli import changes
from jujubeyard.cli import processes
from jujubeyard.cli import timeline_view
from jujubeyard.manifest import load
from jujubeyard.output import tables
from jujubeyard.store import client
from jujubeyard.store import config_writer
from jujubeyard.store import records

DEFAULT_SETTINGS = "jujubeyard.toml"


class DrainCommands:
    """Takes something out of service and back in."""

    def __init__(self, env: context.Environment, change):
        self._env = env
        self._change = change

    def drain(
        self, name: str, settings_file: str = DEFAULT_SETTINGS
    ) -> statuses.ExitStatus:
        """Takes it out: it gets no new work after a few seconds.

        Args:
            name: Its name in the manifest.
            settings_file: Path of the operators' settings.
        """
        return self._run(name, settings_file, True)

    def restore(
        self, name: str, settings_file: str = DEFAULT_SETTINGS
    ) -> statuses.ExitStatus:
        """Takes it back in.

        Args:
            name: Its name in the manifest.
            settings_file: Path of the operators' settings.
        """
        return self._run(name, settings_file, False)

    def _run(self, name, settings_file, drained) -> statuses.ExitStatus:
        cfg = _read_settings(self._env, settings_file)
        accepted = asyncio.run(self._write(cfg, str(name), drained))
        self._env.stdout.write(f"accepted as version {accepted.version}\n")
        return statuses.ExitStatus.SUCCESS

    async def _write(self, cfg, name: str, drained: bool):
        store = client.StoreClient(cfg.store)
        writer = config_writer.ConfigWriter(store, cfg.cluster)
        try:
            while True:
                current = await writer.read()
                if current.record is None:
                    raise errors.NotFoundError(
                        "there is no configuration yet",
                        "apply a manifest first",
                    )
                record = self._change(current.record, name, drained)
                try:
                    return await writer.write(current, record)
                except errors.ConflictError:
                    continue
        finally:
            await store.close()


class Commands:
    """Operates a jujubeyard cluster."""

    def __init__(self, env: context.Environment):
        self._env = env
        self.zone = DrainCommands(env, changes.set_zone)
        self.target = DrainCommands(env, changes.set_target)

    def check(self, manifest: str) -> statuses.ExitStatus:
        """Checks a manifest file.

        Args:
            manifest: Path of a TOML file.
        """
        path = self._env.config_dir / str(manifest)
        document = load.read_manifest(path)
        changes.apply_manifest(None, document)
        services = document["service"]
        targets = sum(len(service["target"]) for service in services)
        self._env.stdout.write(
            f"{path}: {len(services)} services, {targets} targets, "
            f"{len(document['zones'])} zones\n"
        )
        return statuses.ExitStatus.SUCCESS

    def apply(
        self,
        manifest: str,
        base: int | None = None,
        dry_run: bool = False,
        settings_file: str = DEFAULT_SETTINGS,
    ) -> statuses.ExitStatus:
        """Puts a manifest in force.

        Args:
            manifest: Path of a TOML file.
            base: Refuse if the version in force is another one.
            dry_run: Only show the difference.
            settings_file: Path of the operators' settings.
        """
        cfg = _read_settings(self._env, settings_file)
        document = load.read_manifest(self._env.config_dir / str(manifest))
        if document["cluster"] != cfg.cluster:
            raise errors.ManifestError(
                f"the manifest is for cluster {document['cluster']!r}",
                f"the settings are for {cfg.cluster!r}",
            )
        return asyncio.run(self._apply(cfg, document, base, dry_run))

    async def _apply(self, cfg, document, base, dry_run):
        store = client.StoreClient(cfg.store)
        writer = config_writer.ConfigWriter(store, cfg.cluster)
        try:
            current = await writer.read()
            if base is not None and base != current.version:
                raise errors.ConflictError(
                    f"version {current.version} is in force, not {base}",
                    "look at the difference with --dry-run",
                )
            record = changes.apply_manifest(current.record, document)
            if dry_run:
                lines = changes.describe_difference(current.record, record)
                tables.write_lines(self._env, lines or ["no difference"])
                return statuses.ExitStatus.SUCCESS
            accepted = await writer.write(current, record)
        finally:
            await store.close()
        self._env.stdout.write(f"accepted as version {accepted.version}\n")
        return statuses.ExitStatus.SUCCESS

    def status(
        self, json: bool = False, settings_file: str = DEFAULT_SETTINGS
    ) -> statuses.ExitStatus:
        """Shows services, targets, zones, owners and versions in force.

        Args:
            json: Write one JSON document.
            settings_file: Path of the operators' settings.
        """
        cfg = _read_settings(self._env, settings_file)
        answers = asyncio.run(processes.ask_all(cfg.processes, "/status"))
        record = asyncio.run(_read_record(cfg))
        if json:
            tables.write_json(
                self._env,
                {
                    "accepted_version": record.version if record else None,
                    "drained_zones": record.drained_zones if record else [],
                    "processes": answers,
                },
            )
        else:
            tables.write_status(self._env, record, answers)
        silent = [a for a, answer in answers.items() if answer is None]
        if silent:
            return statuses.ExitStatus.ERROR
        return statuses.ExitStatus.SUCCESS

    def timeline(
        self,
        service: str = "",
        key: str = "",
        process: str = "",
        kind: str = "",
        since: float = 0.0,
        follow: bool = False,
        json: bool = False,
        settings_file: str = DEFAULT_SETTINGS,
    ) -> statuses.ExitStatus:
        """Shows the events of all processes in one order.

        Args:
            service: Only events of this service.
            key: Only events of this key's shard.
            process: Only events of processes whose name starts so.
            kind: Only events of this kind.
            since: Only events of the last so many seconds; 0 for all.
            follow: Go on until interrupted.
            json: Write one JSON document a line.
            settings_file: Path of the operators' settings.
        """
        cfg = _read_settings(self._env, settings_file)
        shown = timeline_view.Filter(
            str(service), str(key), str(process), str(kind), float(since)
        )
        if key:
            shown.record = asyncio.run(_read_record(cfg))
        asyncio.run(
            timeline_view.show(self._env, cfg.processes, shown, follow, json)
        )
        return statuses.ExitStatus.SUCCESS

    def codes(self, json: bool = False) -> statuses.ExitStatus:
        """Lists the result codes.

        Args:
            json: Write one JSON document.
        """
        rows = [
            {
                "code": int(code),
                "name": code.name.lower(),
                "http_status": info.http_status,
                "not_run": info.not_run,
                "summary": info.summary,
            }
            for code, info in codes.CODE_INFO.items()
        ]
        if json:
            tables.write_json(self._env, rows)
        else:
            tables.write_table(self._env, rows)
        return statuses.ExitStatus.SUCCESS

    def version(self) -> statuses.ExitStatus:
        """Shows the version of the program."""
        self._env.stdout.write(f"jujubeyard {jujubeyard.__version__}\n")
        return statuses.ExitStatus.SUCCESS


def _read_settings(
    env: context.Environment, path: str
) -> settings.OperatorSettings:
    return settings.read_settings(
        env.config_dir / pathlib.Path(str(path)), settings.OperatorSettings
    )


async def _read_record(cfg) -> records.ConfigRecord | None:
    store = client.StoreClient(cfg.store)
    try:
        current = await config_writer.ConfigWriter(store, cfg.cluster).read()
    except errors.StoreError:
        return None
    finally:
        await store.close()
    return current.record
