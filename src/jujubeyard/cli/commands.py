"""Commands of the command line for operators."""

import asyncio
import pathlib

import jujubeyard
from jujubeyard import codes
from jujubeyard import context
from jujubeyard import errors
from jujubeyard import settings
from jujubeyard import status as statuses
from jujubeyard.cli import admin_client
from jujubeyard.cli import config_changes
from jujubeyard.cli import configuration_check
from jujubeyard.cli import timeline_view
from jujubeyard.manifest import loader
from jujubeyard.output import tables
from jujubeyard.store import config_writer
from jujubeyard.store import etcd_client
from jujubeyard.store import records

DEFAULT_SETTINGS = "jujubeyard.toml"


class DrainCommands:
    """Drains and restores zones or targets."""

    def __init__(self, env: context.Environment, set_drained):
        """Creates the commands.

        Args:
            env: Output streams and base directory for relative paths.
            set_drained: Function that returns a configuration with a zone or
                target drained or restored.
        """
        self._env = env
        self._set_drained = set_drained

    def drain(
        self, name: str, settings_file: str = DEFAULT_SETTINGS
    ) -> statuses.ExitStatus:
        """Takes it out of service: no new calls reach it after a few seconds.

        Args:
            name: Name of the zone or target in the manifest.
            settings_file: Path of the TOML settings file for operators.
        """
        return self._apply(name, settings_file, True)

    def restore(
        self, name: str, settings_file: str = DEFAULT_SETTINGS
    ) -> statuses.ExitStatus:
        """Puts it back in service.

        Args:
            name: Name of the zone or target in the manifest.
            settings_file: Path of the TOML settings file for operators.
        """
        return self._apply(name, settings_file, False)

    def _apply(self, name, settings_file, drained) -> statuses.ExitStatus:
        cfg = _read_settings(self._env, settings_file)
        accepted = asyncio.run(self._write(cfg, str(name), drained))
        self._env.stdout.write(f"accepted as version {accepted.version}\n")
        return statuses.ExitStatus.SUCCESS

    async def _write(self, cfg, name: str, drained: bool):
        store = etcd_client.EtcdClient(cfg.store)
        writer = config_writer.ConfigWriter(store, cfg.cluster)
        try:
            while True:
                current = await writer.read()
                if current.record is None:
                    raise errors.NotFoundError(
                        "the cluster has no configuration yet",
                        "apply a manifest first",
                    )
                record = self._set_drained(current.record, name, drained)
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
        self.zone = DrainCommands(env, config_changes.set_zone_drained)
        self.target = DrainCommands(env, config_changes.set_target_drained)

    def check(
        self,
        file: str,
        in_force: str = "",
        store: str = "",
        nodes: int | None = None,
        targets: dict | None = None,
        json: bool = False,
    ) -> statuses.ExitStatus:
        """Validates a manifest, or a configuration before it is sent.

        A file that holds a JSON object is a configuration of the platform. It
        is read as nodes read it. Shown are all errors, entries that can never
        match, limits that contradict each other and, if the version in force
        is given, what differs from it and what that does to callers. Each
        finding has a number. The exit status is 0 if there is neither an error
        nor a warning, 8 for warnings and 9 for errors. Any other file is a
        manifest; the options don't apply to it.

        Args:
            file: Path of the TOML manifest or the JSON configuration.
            in_force: Path of the configuration in force, to compare with.
            store: Address IP:PORT of the platform's store, from which the
                configuration in force, the number of nodes and the targets of
                services are read.
            nodes: Number of nodes.
            targets: Number of targets by service, such as {desk:3}.
            json: Print one JSON document with the findings.
        """
        path = self._env.config_dir / str(file)
        if not configuration_check.is_configuration(path):
            return self._check_manifest(path)
        surroundings = configuration_check.find_surroundings(
            self._env.config_dir / str(in_force) if in_force else None,
            str(store),
            nodes,
            targets,
        )
        return configuration_check.run(self._env, path, surroundings, json)

    def _check_manifest(self, path: pathlib.Path) -> statuses.ExitStatus:
        document = loader.read_manifest(path)
        config_changes.apply_manifest(None, document)
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
        """Applies a manifest to the cluster.

        Args:
            manifest: Path of the TOML manifest file.
            base: Fail unless this is the version in force.
            dry_run: Show the difference and change nothing.
            settings_file: Path of the TOML settings file for operators.
        """
        cfg = _read_settings(self._env, settings_file)
        document = loader.read_manifest(self._env.config_dir / str(manifest))
        if document["cluster"] != cfg.cluster:
            raise errors.ManifestError(
                f"the manifest is for cluster {document['cluster']!r}",
                f"the settings are for {cfg.cluster!r}",
            )
        return asyncio.run(self._apply(cfg, document, base, dry_run))

    async def _apply(self, cfg, document, base, dry_run):
        store = etcd_client.EtcdClient(cfg.store)
        writer = config_writer.ConfigWriter(store, cfg.cluster)
        try:
            current = await writer.read()
            if base is not None and base != current.version:
                raise errors.ConflictError(
                    f"version {current.version} is in force, not {base}",
                    "run apply with --dry-run to see the difference",
                )
            record = config_changes.apply_manifest(current.record, document)
            if dry_run:
                lines = config_changes.describe_difference(
                    current.record, record
                )
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
            json: Print one JSON document.
            settings_file: Path of the TOML settings file for operators.
        """
        cfg = _read_settings(self._env, settings_file)
        documents = asyncio.run(
            admin_client.fetch_all(cfg.processes, "/status")
        )
        record = asyncio.run(_read_record(cfg))
        if json:
            tables.write_json(
                self._env,
                {
                    "accepted_version": record.version if record else None,
                    "drained_zones": record.drained_zones if record else [],
                    "processes": documents,
                },
            )
        else:
            tables.write_status(self._env, record, documents)
        unreachable = [
            address
            for address, document in documents.items()
            if document is None
        ]
        if unreachable:
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
        """Shows the events of all processes, ordered by their clocks.

        Args:
            service: Only events of this service.
            key: Only events of this key or its shard.
            process: Only events of processes whose name has this prefix.
            kind: Only events of this kind.
            since: Only events of this many past seconds; 0 for all.
            follow: Continue with new events until interrupted.
            json: Print each event as one line of JSON.
            settings_file: Path of the TOML settings file for operators.
        """
        cfg = _read_settings(self._env, settings_file)
        event_filter = timeline_view.EventFilter(
            str(service), str(key), str(process), str(kind), float(since)
        )
        if key:
            event_filter.record = asyncio.run(_read_record(cfg))
        asyncio.run(
            timeline_view.print_events(
                self._env, cfg.processes, event_filter, follow, json
            )
        )
        return statuses.ExitStatus.SUCCESS

    def codes(self, json: bool = False) -> statuses.ExitStatus:
        """Lists the result codes of calls.

        Args:
            json: Print one JSON document.
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
        """Prints the version of the program."""
        self._env.stdout.write(f"jujubeyard {jujubeyard.__version__}\n")
        return statuses.ExitStatus.SUCCESS


def _read_settings(
    env: context.Environment, path: str
) -> settings.OperatorSettings:
    return settings.read_settings(
        env.config_dir / pathlib.Path(str(path)), settings.OperatorSettings
    )


async def _read_record(cfg) -> records.ConfigRecord | None:
    store = etcd_client.EtcdClient(cfg.store)
    try:
        current = await config_writer.ConfigWriter(store, cfg.cluster).read()
    except errors.StoreError:
        return None
    finally:
        await store.close()
    return current.record
