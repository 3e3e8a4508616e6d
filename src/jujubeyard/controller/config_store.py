"""The newest configuration and plan, as read from and written to the store."""

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
class Known:
    """The newest versions that a controller knows.

    Attributes:
        config_body: The configuration as stored.
        config: The same, as tables; None before the first.
        plan_body: The plan as stored.
        plan: The same, as tables; version 0 before the first.
    """

    config_body: bytes = b""
    config: config_tables.Config | None = None
    plan_body: bytes = b""
    plan: tables.Plan = dataclasses.field(default_factory=tables.Plan)

    @property
    def config_version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.config.version if self.config else 0

    def install_config(self, body: bytes) -> bool:
        """Takes a configuration in unless it is older."""
        record = records.decode_config(body)
        if record.version <= self.config_version:
            return False
        self.config_body = body
        self.config = config_tables.build_config(record)
        return True

    def install_plan(self, body: bytes) -> bool:
        """Takes a plan in unless it is older."""
        plan = codec.decode_plan(body)
        if plan.version <= self.plan.version:
            return False
        self.plan_body = body
        self.plan = plan
        return True


class PlanWriter:
    """Writes plans with compare-and-swap and settles lost answers."""

    def __init__(self, store: etcd_client.EtcdClient, cluster: str):
        self._store = store
        self._key = records.plan_key(cluster)

    async def read(
        self,
    ) -> result.Result[etcd_client.Value | None, errors.StoreError]:
        """Reads the stored plan."""
        return await self._store.read(self._key)

    async def write(
        self, draft: tables.Plan
    ) -> result.Result[bytes | None, errors.StoreError]:
        """Writes the successor of the stored plan.

        Args:
            draft: The new plan; the stored one must be the version before.

        Returns:
            Ok with the newest stored plan, whoever wrote it, or Err if the
            store did not answer.
        """
        current = await self.read()
        if current.is_err():
            return current
        value = current.ok_value
        revision = value.revision if value else 0
        stored = codec.decode_plan(value.body).version if value else 0
        if stored != draft.version - 1:
            return result.Ok(value.body if value else None)
        write_id = uuid.uuid4().hex
        draft.recent_writes = [*draft.recent_writes, write_id]
        draft.recent_writes = draft.recent_writes[-MAX_RECENT_WRITES:]
        body = codec.encode_plan(draft)
        swapped = await self._store.compare_and_swap(self._key, revision, body)
        if swapped.is_ok() and swapped.ok_value:
            return result.Ok(body)
        newest = await self.read()
        return newest.map(lambda found: found.body if found else None)
