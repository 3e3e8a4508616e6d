"""Changes the configuration with compare-and-swap.

A change is accepted once its write is known to be in the store. If the answer
to a write is lost, the record is read back and searched for the write's id.
"""

import asyncio
import collections.abc
import dataclasses
import uuid

from jujubeyard import errors
from jujubeyard.store import etcd_client
from jujubeyard.store import records

READ_BACK_ATTEMPTS = 20
READ_BACK_SECONDS = 0.25

Change = collections.abc.Callable[
    [records.ConfigRecord | None], records.ConfigRecord
]


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The stored configuration.

    Attributes:
        record: The record, or None before the first.
        revision: Its revision in the store, or 0.
    """

    record: records.ConfigRecord | None
    revision: int

    @property
    def version(self) -> int:
        """Its version, or 0."""
        return self.record.version if self.record else 0


class ConfigWriter:
    """Reads and changes the configuration of one cluster."""

    def __init__(self, store: etcd_client.EtcdClient, cluster: str):
        self._store = store
        self._key = records.config_key(cluster)

    async def read(self) -> Current:
        """Reads the configuration.

        Raises:
            errors.StoreError: The store did not answer.
        """
        answer = await self._store.read(self._key)
        if answer.is_err():
            raise answer.err_value
        value = answer.ok_value
        if value is None:
            return Current(None, 0)
        return Current(records.decode_config(value.body), value.revision)

    async def write(
        self, current: Current, record: records.ConfigRecord
    ) -> records.ConfigRecord:
        """Replaces the configuration.

        Args:
            current: What the new one was made from.
            record: The new one; its version is set here.

        Returns:
            The accepted record.

        Raises:
            errors.ConflictError: It was changed in the meantime.
            errors.StoreError: It is not known whether the write took effect.
        """
        write_id = uuid.uuid4().hex
        record = dataclasses.replace(record, version=current.version)
        record = record.with_write(write_id)
        answer = await self._store.compare_and_swap(
            self._key, current.revision, record.encode()
        )
        if answer.is_ok():
            if answer.ok_value:
                return record
            raise _conflict()
        if await self._find_write(write_id, record.version):
            return record
        raise _conflict()

    async def _find_write(self, write_id: str, version: int) -> bool:
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                found = await self.read()
            except errors.StoreError:
                await asyncio.sleep(READ_BACK_SECONDS)
                continue
            if found.record and write_id in found.record.recent_writes:
                return True
            if found.version >= version:
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
