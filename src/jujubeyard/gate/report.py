"""Renews the lease and reports to controllers."""

import itertools

from jujubeyard import clock
from jujubeyard.controller import ranks
from jujubeyard.events import kinds
from jujubeyard.gate import lifecycle
from jujubeyard.gate import state
from jujubeyard.lease import terms
from jujubeyard.link import messages
from jujubeyard.plan import observation

MIN_LOAD = 0.05
MAX_LOADS = 256
"""Shards whose load is reported; the busiest ones."""

_numbers = itertools.count(1)


class Reporter:
    """Sends renewals, takes promises in."""

    def __init__(self, gate: state.GateState):
        self._gate = gate
        self._next_renewal = 0.0
        self._next_load = 0.0
        self._had_lease = False

    def renew(self, now: float) -> None:
        """Sends a renewal to witnesses and planners if it is due."""
        gate = self._gate
        if not gate.renew_now and now < self._next_renewal:
            return
        gate.renew_now = False
        self._next_renewal = now + terms.RENEW_SECONDS
        number = next(_numbers)
        plain = self._make_renewal(number, [])
        loaded = plain
        if now >= self._next_load:
            self._next_load = now + observation.LOAD_SECONDS
            loaded = self._make_renewal(number, self._read_loads())
        gate.lease.sent(number, clock.boottime())
        links = sorted(
            gate.follower.pool.links.values(), key=lambda p: p.peer_name
        )
        for position, peer in enumerate(links):
            if position < ranks.WATCHER_COUNT:
                peer.send(loaded)
            elif gate.lease.rests_on(peer.peer_name):
                peer.send(plain)

    def promised(self, promise: messages.Promise) -> None:
        """Takes a controller's answer in."""
        gate = self._gate
        if promise.granted:
            gate.lease.promised(promise.number, promise.witness)
        newer_plan = promise.plan_version > gate.follower.plan_version
        newer_config = promise.config_version > gate.follower.config_version
        if newer_plan or newer_config:
            gate.follower.ask_again()
        self.notice_lease(clock.boottime())

    def notice_lease(self, now: float) -> None:
        """Records when the lease is gained or lost."""
        valid = self._gate.lease.is_valid(now)
        if valid == self._had_lease:
            return
        self._had_lease = valid
        kind = kinds.EventKind.LEASE_GAINED
        if not valid:
            kind = kinds.EventKind.LEASE_LOST
        self._gate.node.record(kind)

    def settled_version(self) -> int:
        """Returns up to which plan everything given here is acquired."""
        gate = self._gate
        settled = gate.follower.plan_version
        for row in gate.targets.values():
            if row.life.state == lifecycle.ACQUIRING:
                settled = min(settled, row.version - 1)
        for shard in gate.shards.values():
            if not shard.is_active:
                settled = min(settled, shard.version - 1)
        return settled

    def _make_renewal(self, number: int, loads: list) -> messages.Renew:
        gate = self._gate
        lost = [
            row.name
            for row in gate.targets.values()
            if row.life.state == lifecycle.LOST
        ]
        return messages.Renew(
            number,
            gate.holder,
            gate.cfg.listen,
            gate.node.zone,
            gate.follower.plan_version,
            gate.follower.config_version,
            self.settled_version(),
            gate.leaving,
            sorted(lost),
            loads,
        )

    def _read_loads(self) -> list:
        rates = self._gate.rates
        counts = self._gate.counts
        for key in rates.keys() | counts.keys():
            fresh = counts.get(key, 0.0) / observation.LOAD_SECONDS
            old = rates.get(key, 0.0)
            rates[key] = old + observation.LOAD_WEIGHT * (fresh - old)
            if rates[key] < MIN_LOAD:
                del rates[key]
        counts.clear()
        busiest = sorted(rates.items(), key=lambda row: -row[1])[:MAX_LOADS]
        return [[service, s, round(v, 2)] for (service, s), v in busiest]
