"""Renews the lease and reports load to controllers."""

import itertools

from jujubeyard import clock
from jujubeyard.controller import ranks
from jujubeyard.events import kinds
from jujubeyard.gate import lifecycle
from jujubeyard.gate import state
from jujubeyard.lease import timing
from jujubeyard.link import messages
from jujubeyard.plan import cluster_state

MIN_REPORTED_LOAD = 0.05
"""Weighted calls per second below which a shard is not reported."""

MAX_REPORTED_LOADS = 256
"""Shards in one report; those with the highest load are reported."""

_renewal_ids = itertools.count(1)


class Reporter:
    """Sends lease renewals and handles the promises of witnesses."""

    def __init__(self, gate: state.GateState):
        self._gate = gate
        self._next_renewal = 0.0
        self._next_load = 0.0
        self._had_lease = False

    def renew(self, now: float) -> None:
        """Sends a renewal to witnesses and planners if one is due."""
        gate = self._gate
        if not gate.renew_now and now < self._next_renewal:
            return
        gate.renew_now = False
        self._next_renewal = now + timing.RENEWAL_INTERVAL_SECONDS
        renewal_id = next(_renewal_ids)
        renewal = self._make_renewal(renewal_id, [])
        renewal_with_loads = renewal
        if now >= self._next_load:
            self._next_load = now + cluster_state.LOAD_REPORT_SECONDS
            renewal_with_loads = self._make_renewal(
                renewal_id, self._update_loads()
            )
        gate.lease.record_renewal(renewal_id, clock.boottime())
        links = sorted(
            gate.follower.pool.links.values(), key=lambda peer: peer.peer_name
        )
        for position, peer in enumerate(links):
            if position < ranks.WATCHER_COUNT:
                peer.send(renewal_with_loads)
            elif gate.lease.has_witness(peer.peer_name):
                peer.send(renewal)

    def handle_promise(self, promise: messages.Promise) -> None:
        """Handles a controller's reply to a renewal."""
        gate = self._gate
        if promise.granted:
            gate.lease.record_promise(promise.renewal_id, promise.witness)
        newer_plan = promise.plan_version > gate.follower.plan_version
        newer_config = promise.config_version > gate.follower.config_version
        if newer_plan or newer_config:
            gate.follower.resubscribe()
        self.record_lease_change(clock.boottime())

    def record_lease_change(self, now: float) -> None:
        """Records when the lease is gained or lost."""
        valid = self._gate.lease.is_valid(now)
        if valid == self._had_lease:
            return
        self._had_lease = valid
        kind = kinds.EventKind.LEASE_GAINED
        if not valid:
            kind = kinds.EventKind.LEASE_LOST
        self._gate.runtime.record(kind)

    def settled_version(self) -> int:
        """Returns the newest plan version that is fully acquired."""
        gate = self._gate
        settled = gate.follower.plan_version
        for row in gate.targets.values():
            if row.lifecycle.state == lifecycle.ACQUIRING:
                settled = min(settled, row.version - 1)
        for shard in gate.shards.values():
            if not shard.is_active:
                settled = min(settled, shard.version - 1)
        return settled

    def _make_renewal(self, renewal_id: int, loads: list) -> messages.Renew:
        gate = self._gate
        lost = [
            row.name
            for row in gate.targets.values()
            if row.lifecycle.state == lifecycle.LOST
        ]
        return messages.Renew(
            renewal_id,
            gate.holder,
            gate.cfg.listen,
            gate.runtime.zone,
            gate.follower.plan_version,
            gate.follower.config_version,
            self.settled_version(),
            gate.leaving,
            sorted(lost),
            loads,
        )

    def _update_loads(self) -> list:
        rates = self._gate.call_rates
        counts = self._gate.call_weights
        for key in rates.keys() | counts.keys():
            current = counts.get(key, 0.0) / cluster_state.LOAD_REPORT_SECONDS
            average = rates.get(key, 0.0)
            rates[key] = average + cluster_state.LOAD_WEIGHT * (
                current - average
            )
            if rates[key] < MIN_REPORTED_LOAD:
                del rates[key]
        counts.clear()
        busiest = sorted(rates.items(), key=lambda item: -item[1])[
            :MAX_REPORTED_LOADS
        ]
        return [
            [service, shard, round(rate, 2)]
            for (service, shard), rate in busiest
        ]
