"""Exchange of datagrams between a node and the leader."""

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
PRESSED_SENDS = 4
"""Times that loads of pressed targets are sent in each such interval."""

MAX_NODES_FOR_PRESSED = 120
"""Number of nodes above which none sends loads of pressed targets more often
than others, to bound the leader's datagrams."""

IDLE_SECONDS = 1.0
"""Time after the last datagram to the leader after which a node sends an empty
one. The leader only sends updates to nodes that it received a datagram from
recently."""

PEER_SECONDS = 3.0
"""How long a node is sent updates after its latest datagram to this node."""


class _CallbackProtocol(asyncio.DatagramProtocol):
    """Passes each received datagram to a callback."""

    def __init__(self, callback: collections.abc.Callable):
        self._callback = callback

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the callback."""
        self._callback(data, addr)


class Reporter:
    """Sends load data to the leader or, as the leader, updates to all nodes."""

    def __init__(
        self,
        get_leader_address: collections.abc.Callable[
            [], settings.Address | None
        ],
        handle_report: collections.abc.Callable[[demand.Report], None],
        handle_update: collections.abc.Callable[[table.Update], None],
        handle_beacon: collections.abc.Callable[[datagrams.Beacon], None],
        make_beacon: collections.abc.Callable[[], datagrams.Beacon | None],
        exchange: load_exchange.LoadExchange,
        log: journal.Journal,
        get_node_count: collections.abc.Callable[[], int],
    ):
        """Creates a reporter.

        Args:
            get_leader_address: Returns the address at which the leader receives
                datagrams, or None if there is no leader.
            handle_report: Handles a report of a node, if this node leads.
            handle_update: Handles an update of the leader.
            handle_beacon: Handles a beacon of the leader.
            make_beacon: Returns this node's beacon, or None if it isn't the
                leader.
            exchange: Exchange of target loads between the nodes.
            log: Log of malformed datagrams.
            get_node_count: Returns the number of listed nodes.
        """
        self._get_node_count = get_node_count
        self._get_leader_address = get_leader_address
        self._handle_report = handle_report
        self._handle_update = handle_update
        self._handle_beacon = handle_beacon
        self._make_beacon = make_beacon
        self._exchange = exchange
        self._last_sent_at = 0.0
        self._log = log
        self._meters: dict[str, demand.Meter] = {}
        self._peers: dict[tuple[str, int], float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._own_address: settings.Address | None = None

    def meter(self, service: str) -> demand.Meter:
        """Returns the meter that counts the calls of a service."""
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = demand.Meter(service)
        return meter

    async def start(self, address: settings.Address) -> None:
        """Opens the socket and starts to receive datagrams."""
        loop = asyncio.get_running_loop()
        self._own_address = address
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _CallbackProtocol(self._receive),
            local_addr=(address.host, address.port),
        )

    async def run(self) -> None:
        """Sends reports, beacons and loads periodically until cancelled."""
        while True:
            for _ in range(PRESSED_SENDS - 1):
                await asyncio.sleep(REPORT_SECONDS / PRESSED_SENDS)
                self._send_pressed_loads()
            await asyncio.sleep(REPORT_SECONDS / PRESSED_SENDS)
            for meter in list(self._meters.values()):
                self._send_report(meter)
            self._forget_peers()
            self._send_beacon()
            self._send_loads()

    def broadcast_update(self, update: table.Update) -> None:
        """Sends an update to all nodes that sent a datagram recently."""
        max_shards = datagrams.MAX_UPDATE_SHARDS
        for part in table.split_update(update, max_shards):
            self._send_to_peers(datagrams.encode(part))

    def _send_beacon(self) -> None:
        beacon = self._make_beacon()
        if beacon is not None:
            self._send_to_peers(datagrams.encode(beacon))

    def _send_pressed_loads(self) -> None:
        """Sends what other nodes need to know at once to pace their calls."""
        is_bounded = self._get_node_count() <= MAX_NODES_FOR_PRESSED
        if is_bounded and self._exchange.knows_limits():
            self._send_loads(only_pressed=True)

    def _send_loads(self, only_pressed: bool = False) -> None:
        now = time.monotonic()
        leader_address = self._get_leader_address()
        if leader_address is None:
            return
        for message in self._exchange.make_messages(
            leader_address == self._own_address, now, only_pressed
        ):
            if leader_address == self._own_address:
                self._send_to_peers(datagrams.encode(message))
            else:
                self._send_to_leader(leader_address, message)
        if (
            leader_address != self._own_address
            and now - self._last_sent_at > IDLE_SECONDS
        ):
            self._send_to_leader(leader_address, datagrams.TargetLoads(()))

    def _send_to_leader(
        self, leader_address: settings.Address, message: datagrams.Datagram
    ) -> None:
        self._last_sent_at = time.monotonic()
        data = datagrams.encode(message)
        self._transport.sendto(data, (leader_address.host, leader_address.port))

    def _forget_peers(self) -> None:
        """Forgets the nodes that sent no datagram for some time."""
        cutoff = time.monotonic() - PEER_SECONDS
        self._peers = {
            peer: received_at
            for peer, received_at in self._peers.items()
            if received_at > cutoff
        }

    def _send_to_peers(self, data: bytes) -> None:
        self._forget_peers()
        for peer in self._peers:
            self._transport.sendto(data, peer)

    def _send_report(self, meter: demand.Meter) -> None:
        leader_address = self._get_leader_address()
        if leader_address is None or not meter.has_data():
            return
        report = meter.collect_report()
        if leader_address == self._own_address:
            self._handle_report(report)
        else:
            self._send_to_leader(leader_address, report)

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = datagrams.decode(data)
        except errors.FormatError as exc:
            self._log.log_call(
                "malformed datagram ignored",
                sender=sender[0],
                detail=exc.message,
            )
            return
        self._peers[sender] = time.monotonic()
        self._handle(message)

    @functools.singledispatchmethod
    def _handle(self, message: datagrams.Datagram) -> None:
        raise TypeError(f"unknown type of datagram: {message!r}")

    @_handle.register
    def _(self, message: demand.Report) -> None:
        self._handle_report(message)

    @_handle.register
    def _(self, message: table.Update) -> None:
        self._handle_update(message)

    @_handle.register
    def _(self, message: datagrams.Beacon) -> None:
        self._handle_beacon(message)

    @_handle.register
    def _(self, message: datagrams.TargetLoads) -> None:
        self._exchange.apply(message, time.monotonic())

    @_handle.register
    def _(self, message: datagrams.Pressure) -> None:
        self._exchange.apply_pressure(message, time.monotonic())
