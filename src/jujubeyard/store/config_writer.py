"""Reads and changes the stored configuration with compare-and-swap.

A change is accepted once its write is known to be in the store. If the reply
to a write is lost, the record is read back and searched for the write's ID.
"""

import asyncio
import collections.abc
import dataclasses
import uuid

from jujubeyard import errors
from jujubeyard.store import etcd_client
from jujubeyard.store import records

READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_SECONDS = 0.25

Change = collections.abc.Callable[
    [records.ConfigRecord | None], records.ConfigRecord
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfig:
    """The stored configuration and its revision.

    Attributes:
        record: Stored record, or None if none was written yet.
        revision: Store revision of the record, or 0.
    """

    record: records.ConfigRecord | None
    revision: int

    @property
    def version(self) -> int:
        """Version of the record, or 0 if none was written yet."""
        return self.record.version if self.record else 0


class ConfigWriter:
    """Reads and changes the configuration of one cluster."""

    def __init__(self, store: etcd_client.EtcdClient, cluster: str):
        self._store = store
        self._key = records.config_key(cluster)

    async def read(self) -> StoredConfig:
        """Reads the configuration.

        Raises:
            errors.StoreError: The store did not reply.
        """
        outcome = await self._store.read(self._key)
        if outcome.is_err():
            raise outcome.err_value
        value = outcome.ok_value
        if value is None:
            return StoredConfig(None, 0)
        return StoredConfig(records.decode_config(value.body), value.revision)

    async def write(
        self, current: StoredConfig, record: records.ConfigRecord
    ) -> records.ConfigRecord:
        """Replaces the configuration.

        Args:
            current: Stored configuration from which the record was derived.
            record: New configuration; its version is set here.

        Returns:
            The accepted record.

        Raises:
            errors.ConflictError: The configuration has changed since
                `current` was read.
            errors.StoreError: The write was not applied, or it is unknown
                whether it was.
        """
        write_id = uuid.uuid4().hex
        record = dataclasses.replace(record, version=current.version)
        record = record.with_write(write_id)
        outcome = await self._store.compare_and_swap(
            self._key, current.revision, record.encode()
        )
        if outcome.is_ok():
            if outcome.ok_value:
                return record
            raise _conflict()
        if await self._find_write(write_id, record.version):
            return record
        raise _conflict()

    async def _find_write(self, write_id: str, version: int) -> bool:
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self.read()
            except errors.StoreError:
                await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
                continue
            if stored.record and write_id in stored.record.recent_writes:
                return True
            if stored.version >= version:
                return False
            raise errors.StoreError(
                "the change was not accepted", "apply it again"
            )
        raise errors.StoreError(
            "it is not known whether the change was accepted",
            f"look for version {version} with 'jujubeyard status'",
        )


def _conflict() -> errors.ConflictError:
    return errors.ConflictError(
        "the configuration was changed by someone else",
        "look at the difference with --dry-run and apply again",
    )
