"""Reports to the leader, and its updates to the nodes that report."""

import asyncio
import collections.abc
import functools
import time

from jujubeyard import errors
from jujubeyard.node import datagrams
from jujubeyard.node import journal
from jujubeyard.node import load_exchange
from jujubeyard.node import settings
from jujubeyard.ownership import demand
from jujubeyard.ownership import table

REPORT_SECONDS = 0.4
IDLE_SECONDS = 1.0
"""Silence after which a node sends the leader an empty datagram, since the
leader tells those that it hears."""

PEER_SECONDS = 3.0
"""How long a node that has reported is sent updates."""


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, take: collections.abc.Callable):
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram."""
        self._take(data, addr)


class Reporter:
    """Counts calls by key, reports them, and spreads updates of tables."""

    def __init__(
        self,
        find_leader: collections.abc.Callable[[], settings.Address | None],
        handle_report: collections.abc.Callable[[demand.Report], None],
        handle_update: collections.abc.Callable[[table.Update], None],
        handle_beacon: collections.abc.Callable[[datagrams.Beacon], None],
        make_beacon: collections.abc.Callable[[], datagrams.Beacon | None],
        seen: load_exchange.LoadExchange,
        notes: journal.Journal,
    ):
        """Makes a reporter.

        Args:
            find_leader: Returns where the leader takes reports, if it is known.
            take_report: Takes reports that other nodes send here.
            take_update: Takes updates that the leader sends.
            take_beacon: Takes beacons that the leader sends.
            make_beacon: Returns this node's beacon; None if it doesn't lead.
            seen: Loads of targets that are told to others.
            notes: Where malformed datagrams are written.
        """
        self._find_leader = find_leader
        self._take_report = handle_report
        self._take_update = handle_update
        self._take_beacon = handle_beacon
        self._make_beacon = make_beacon
        self._seen = seen
        self._told_at = 0.0
        self._notes = notes
        self._meters: dict[str, demand.Meter] = {}
        self._peers: dict[tuple[str, int], float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._own: settings.Address | None = None

    def meter(self, service: str) -> demand.Meter:
        """Returns the meter of a service."""
        found = self._meters.get(service)
        if found is None:
            found = self._meters[service] = demand.Meter(service)
        return found

    async def start(self, address: settings.Address) -> None:
        """Starts to take datagrams."""
        loop = asyncio.get_running_loop()
        self._own = address
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive),
            local_addr=(address.host, address.port),
        )

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            for meter in list(self._meters.values()):
                self._report(meter)
            self._beacon()
            self._tell_loads()

    def broadcast_update(self, update: table.Update) -> None:
        """Sends an update to all nodes that have reported of late."""
        most = datagrams.MAX_UPDATE_SHARDS
        for part in table.divide_update(update, most):
            self._send_to_peers(datagrams.encode(part))

    def _beacon(self) -> None:
        beacon = self._make_beacon()
        if beacon is not None:
            self._send_to_peers(datagrams.encode(beacon))

    def _tell_loads(self) -> None:
        now = time.monotonic()
        leader = self._find_leader()
        if leader is None:
            return
        for message in self._seen.collect(leader == self._own, now):
            if leader == self._own:
                self._send_to_peers(datagrams.encode(message))
            else:
                self._send_to_leader(leader, message)
        if leader != self._own and now - self._told_at > IDLE_SECONDS:
            self._send_to_leader(leader, datagrams.Loads(()))

    def _send_to_leader(
        self, leader: settings.Address, message: datagrams.Datagram
    ) -> None:
        self._told_at = time.monotonic()
        data = datagrams.encode(message)
        self._transport.sendto(data, (leader.host, leader.port))

    def _send_to_peers(self, data: bytes) -> None:
        oldest = time.monotonic() - PEER_SECONDS
        self._peers = {p: t for p, t in self._peers.items() if t > oldest}
        for peer in self._peers:
            self._transport.sendto(data, peer)

    def _report(self, meter: demand.Meter) -> None:
        leader = self._find_leader()
        if leader is None or not meter.has_seen():
            return
        report = meter.take()
        if leader == self._own:
            self._take_report(report)
        else:
            self._send_to_leader(leader, report)

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = datagrams.decode(data)
        except errors.FormatError as exc:
            self._notes.note_call(
                "datagram passed over", sender=sender[0], detail=exc.message
            )
            return
        self._peers[sender] = time.monotonic()
        self._take(message)

    @functools.singledispatchmethod
    def _take(self, message: datagrams.Datagram) -> None:
        raise TypeError(f"no such datagram: {message!r}")

    @_take.register
    def _(self, message: demand.Report) -> None:
        self._take_report(message)

    @_take.register
    def _(self, message: table.Update) -> None:
        self._take_update(message)

    @_take.register
    def _(self, message: datagrams.Beacon) -> None:
        self._take_beacon(message)

    @_take.register
    def _(self, message: datagrams.Loads) -> None:
        self._seen.take(message, time.monotonic())
