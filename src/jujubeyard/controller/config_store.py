"""Holds the newest configuration and plan, and writes plans to the store."""

import dataclasses
import uuid

import result

from jujubeyard import errors
from jujubeyard.manifest import tables as config_tables
from jujubeyard.plan import codec
from jujubeyard.plan import tables
from jujubeyard.store import etcd_client
from jujubeyard.store import records

MAX_RECENT_WRITES = 64


@dataclasses.dataclass(slots=True)
class InstalledVersions:
    """The newest configuration and plan that a controller has installed.

    Attributes:
        config_body: The configuration in its stored encoding.
        config: The decoded configuration; None before the first one.
        plan_body: The plan in its stored encoding.
        plan: The decoded plan; version 0 before the first one.
    """

    config_body: bytes = b""
    config: config_tables.Config | None = None
    plan_body: bytes = b""
    plan: tables.Plan = dataclasses.field(default_factory=tables.Plan)

    @property
    def config_version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return self.config.version if self.config else 0

    def install_config(self, body: bytes) -> bool:
        """Installs a configuration if it is newer.

        Returns:
            Whether it was installed.
        """
        record = records.decode_config(body)
        if record.version <= self.config_version:
            return False
        self.config_body = body
        self.config = config_tables.build_config(record)
        return True

    def install_plan(self, body: bytes) -> bool:
        """Installs a plan if it is newer.

        Returns:
            Whether it was installed.
        """
        plan = codec.decode_plan(body)
        if plan.version <= self.plan.version:
            return False
        self.plan_body = body
        self.plan = plan
        return True


class PlanWriter:
    """Writes plans to the store with compare-and-swap.

    Each write adds a unique ID to the plan. After a failed swap or a lost
    response, the newest plan is read back, and its IDs show whose write won.
    """

    def __init__(self, store: etcd_client.EtcdClient, cluster: str):
        self._store = store
        self._key = records.plan_key(cluster)

    async def read(
        self,
    ) -> result.Result[etcd_client.Value | None, errors.StoreError]:
        """Reads the stored plan; the value is None if there is none."""
        return await self._store.read(self._key)

    async def write(
        self, draft: tables.Plan
    ) -> result.Result[bytes | None, errors.StoreError]:
        """Writes the next version of the stored plan.

        Args:
            draft: The new plan. It is written only if the stored version is
                the one before it.

        Returns:
            Ok with the newest stored plan, whichever controller wrote it, or
            Err if the store did not answer.
        """
        current = await self.read()
        if current.is_err():
            return current
        value = current.ok_value
        revision = value.revision if value else 0
        stored_version = codec.decode_plan(value.body).version if value else 0
        if stored_version != draft.version - 1:
            return result.Ok(value.body if value else None)
        write_id = uuid.uuid4().hex
        draft.recent_writes = [*draft.recent_writes, write_id]
        draft.recent_writes = draft.recent_writes[-MAX_RECENT_WRITES:]
        body = codec.encode_plan(draft)
        swapped = await self._store.compare_and_swap(self._key, revision, body)
        if swapped.is_ok() and swapped.ok_value:
            return result.Ok(body)
        newest = await self.read()
        return newest.map(lambda value: value.body if value else None)
