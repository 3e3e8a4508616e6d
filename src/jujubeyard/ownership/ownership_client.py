"""Sends requests to targets, and reads and writes stored shard tables."""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp

from jujubeyard import errors
from jujubeyard import losses
from jujubeyard.ownership import leader
from jujubeyard.ownership import table
from jujubeyard.ownership import target_requests
from jujubeyard.store import eras
from jujubeyard.store import interface
from jujubeyard.store import revisions


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of writing a table.

    Attributes:
        is_written: Whether the store holds the shards to be written.
        stored: The table that the store holds; None if unknown.
    """

    is_written: bool
    stored: table.ShardTable | None


class TargetClient(typing.Protocol):
    """Client for the targets' protocol.

    Attributes:
        grant: Sends a grant request.
        release: Sends a release request.
    """

    grant: target_requests.Sender
    release: target_requests.Sender

    async def probe(
        self, session: aiohttp.ClientSession, service: str, owner: table.Owner
    ) -> target_requests.Result:
        """Checks whether a target answers a health check."""


class OwnershipClient:
    """Access of a shard coordinator to targets, the store and the log.

    Attributes:
        lost_addresses: Addresses of targets that have closed all connections
            for grants. Who has dealt with one removes it.
    """

    def __init__(
        self,
        store: interface.Store,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        target_client: TargetClient,
        table_key: collections.abc.Callable[[str], str],
        publish: collections.abc.Callable[[table.ShardTable], None],
        log: leader.Journal,
        loss_tracker: losses.LossTracker | None = None,
    ):
        """Initializes a client.

        Args:
            store: Holds the tables.
            session: HTTP session for grants and health checks.
            fresh_session: HTTP session for releases, which makes a connection
                for each, so that no earlier reply of the target is taken for
                the confirmation of a release.
            target_client: Speaks the targets' protocol.
            table_key: Returns the key of a service's table in the store.
            publish: Publishes a stored table to this and all other nodes.
            log: Log of the coordinator's events.
            loss_tracker: Connections of `session`; None if they aren't known.
        """
        self.lost_addresses = (loss_tracker or losses.LossTracker()).lost
        self._store = store
        self._session = session
        self._fresh_session = fresh_session
        self._target_client = target_client
        self._table_key = table_key
        self._publish = publish
        self._log = log
        self._granted_owners: dict[str, table.Owner] = {}

    def log_event(self, event: str, **fields) -> None:
        """Logs an event.

        Args:
            event: Text of the event.
            **fields: Fields of the log line.
        """
        self._log.log_event(event, **fields)

    def publish(self, written: table.ShardTable) -> None:
        """Publishes a stored table to this node and all others."""
        self._publish(written)

    async def grant(
        self, request: target_requests.GrantRequest, seconds: float
    ) -> target_requests.Result:
        """Sends a grant, or its renewal, to a target.

        Args:
            request: The grant request.
            seconds: Timeout.
        """
        self._discard_connections_before(request.target)
        return await target_requests.send_request(
            self._target_client.grant, self._session, request, seconds
        )

    async def release(
        self,
        request: target_requests.ReleaseRequest,
        seconds: float,
        is_replaced: bool = False,
    ) -> target_requests.Result:
        """Asks a target to release keys.

        The reply comes once calls on these keys have ended.

        Args:
            request: The release request.
            seconds: Timeout.
            is_replaced: Whether another process serves the target's address by
                now. The earlier one may still serve the connections that it
                has, so that one of these is asked as well, if there is one.
        """
        if not is_replaced:
            return await self._release(self._fresh_session, request, seconds)
        kept, fresh = await asyncio.gather(
            self._release(self._session, request, seconds),
            self._release(self._fresh_session, request, seconds),
        )
        if kept.reply is None or fresh.reply is None:
            return kept if kept.reply is None else fresh
        handover = kept.reply.handover or fresh.reply.handover
        reply = dataclasses.replace(fresh.reply, handover=handover)
        return dataclasses.replace(fresh, reply=reply)

    async def _release(
        self,
        session: aiohttp.ClientSession,
        request: target_requests.ReleaseRequest,
        seconds: float,
    ) -> target_requests.Result:
        return await target_requests.send_request(
            self._target_client.release, session, request, seconds
        )

    def _discard_connections_before(self, owner: table.Owner) -> None:
        """Gives up connections to an address that another owner had before.

        They may lead to the process of the earlier one.
        """
        earlier = self._granted_owners.get(owner.address, owner)
        self._granted_owners[owner.address] = owner
        if earlier != owner:
            self._session.connector.replace_connections(owner.address)

    async def check(
        self, request: target_requests.ReleaseRequest, seconds: float
    ) -> target_requests.Result:
        """Sends a release that changes nothing, as grants are sent.

        Args:
            request: The release request.
            seconds: Timeout.
        """
        self._discard_connections_before(request.target)
        return await self._release(self._session, request, seconds)

    async def probe(
        self, service: str, owner: table.Owner
    ) -> target_requests.Result:
        """Checks whether a target answers a health check."""
        return await self._target_client.probe(self._session, service, owner)

    async def read_table(self, service: str) -> table.ShardTable | None:
        """Returns the stored table, or None if it can't be read.

        A service without a stored table has an empty one with revision 0.
        """
        stored = await self._store.read(self._table_key(service))
        if stored.is_err():
            return None
        item = stored.ok_value
        if item is None:
            return table.ShardTable(service, (), 0)
        try:
            return table.decode(service, item.value, item.revision)
        except errors.FormatError as exc:
            self.log_event("shard table not usable", detail=exc.message)
            return None

    async def write_table(
        self,
        new_table: table.ShardTable,
        leader_conditions: collections.abc.Sequence[interface.Condition],
        era: int = eras.UNKNOWN_ERA,
    ) -> WriteResult:
        """Replaces the stored table if its revision hasn't changed.

        If the store doesn't answer or reports a conflict, the table is read
        back, since a write of this term that timed out may have been applied
        late.

        Args:
            new_table: The new shards, and the revision that they replace.
            leader_conditions: Fail the write if this node no longer leads.
            era: Era of the store in which this node leads.
        """
        key = self._table_key(new_table.service)
        body = table.encode(new_table.shards, era)
        conditions = [
            *leader_conditions,
            interface.Condition(key, new_table.item_revision),
        ]
        outcome = await self._store.write(
            conditions, [interface.Put(key, body)]
        )
        if outcome.is_ok():
            written = table.ShardTable(
                new_table.service,
                new_table.shards,
                outcome.ok_value,
                written_era=era,
            )
            return WriteResult(True, written)
        self.log_event(
            "table not written",
            service=new_table.service,
            revision=revisions.describe(new_table.item_revision),
            detail=outcome.err_value.detail,
        )
        if outcome.err_value.kind is interface.FailureKind.NOT_APPLIED:
            return WriteResult(False, None)
        stored = await self.read_table(new_table.service)
        if stored is None:
            return WriteResult(False, None)
        is_written = (
            stored.shards == new_table.shards and stored.written_era == era
        )
        return WriteResult(is_written, stored)
