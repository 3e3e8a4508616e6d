"""Carries orders to targets and tables of owners to the store."""

import collections.abc
import dataclasses
import typing

import aiohttp

from jujubeyard.ownership import leader
from jujubeyard.ownership import orders
from jujubeyard.ownership import table
from jujubeyard.store import interface


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """How a write of a table ended.

    Attributes:
        is_written: Whether the store holds what was to be written.
        stored: The table that the store holds, if that is known.
    """

    is_written: bool
    stored: table.ShardTable | None


class Speech(typing.Protocol):
    """The targets' protocol for orders."""

    grant: orders.Sender
    release: orders.Sender

    async def probe(
        self, session: aiohttp.ClientSession, service: str, owner: table.Owner
    ) -> orders.Outcome:
        """Asks whether a target is up."""


class Courier:
    """Carries a keeper's orders to targets and its tables to the store."""

    def __init__(
        self,
        store: interface.Store,
        session: aiohttp.ClientSession,
        speak: Speech,
        table_key: collections.abc.Callable[[str], str],
        publish: collections.abc.Callable[[table.ShardTable], None],
        journal: leader.Journal,
    ):
        self._store = store
        self._session = session
        self._speak = speak
        self._table_key = table_key
        self._publish = publish
        self._journal = journal

    def note(self, event: str, **fields) -> None:
        """Writes a decision."""
        self._journal.note(event, **fields)

    def publish(self, written: table.ShardTable) -> None:
        """Tells this node and all others of a table that is stored."""
        self._publish(written)

    async def grant(self, order: orders.Grant, seconds: float) -> orders.Result:
        """Grants keys, or renews the grant."""
        return await orders.carry_out(
            self._speak.grant, self._session, order, seconds
        )

    async def release(
        self, order: orders.Release, seconds: float
    ) -> orders.Result:
        """Takes keys back; the answer waits for work that runs on them."""
        return await orders.carry_out(
            self._speak.release, self._session, order, seconds
        )

    async def probe(self, service: str, owner: table.Owner) -> orders.Outcome:
        """Asks whether a target is up."""
        return await self._speak.probe(self._session, service, owner)

    async def read_table(self, service: str) -> table.ShardTable | None:
        """Returns the stored table, or None if the store didn't answer."""
        found = await self._store.read(self._table_key(service))
        if found.is_err():
            return None
        item = found.ok_value
        if item is None:
            return table.ShardTable(service, (), 0)
        return table.decode(service, item.value, item.revision)

    async def write_table(
        self, wanted: table.ShardTable, leading: interface.Condition
    ) -> Written:
        """Replaces a stored table.

        A write without an answer, or one that met another table, is settled
        by reading the table back: a write of this term that was lost may have
        been done late.
        """
        key = self._table_key(wanted.service)
        body = table.encode(wanted.shards)
        conditions = [leading, interface.Condition(key, wanted.revision)]
        outcome = await self._store.write(
            conditions, [interface.Put(key, body)]
        )
        if outcome.is_ok():
            written = table.ShardTable(
                wanted.service, wanted.shards, outcome.ok_value
            )
            return Written(True, written)
        self.note(
            "table not written",
            service=wanted.service,
            revision=wanted.revision,
            detail=outcome.err_value.detail,
        )
        if outcome.err_value.kind is interface.FailureKind.NOT_APPLIED:
            return Written(False, None)
        found = await self.read_table(wanted.service)
        if found is None:
            return Written(False, None)
        return Written(found.shards == wanted.shards, found)
