"""Decides when a controller may plan."""

from jujubeyard.plan import tables as plan_tables

MIN_PLAN_INTERVAL_SECONDS = 0.1
"""Minimum time between two plans that are not urgent."""

WARM_UP_SECONDS = 1.5
"""How long a controller collects reports before it plans: after its start,
after a pause, or when it becomes a watcher, one that gates report to."""

RENEWAL_WAIT_SECONDS = 0.6
"""How long a controller that regains its quorum waits before it plans, so
that all gates have renewed. Longer than two renewal intervals."""

STALL_THRESHOLD_SECONDS = 0.5
"""Delay of a tick above which the process is taken to have been paused."""

FIRST_PLAN_DELAY_SECONDS = 1.0
"""How long the very first plan waits for more gates after the first one
reports, so that it doesn't assign all targets to one gate."""


def has_quorum(
    plan: plan_tables.Plan,
    reachable: frozenset[str],
    listed: frozenset[str],
    gone: frozenset[str],
) -> bool:
    """Returns whether a controller reaches enough of the fleet to plan for it.

    A controller that is partitioned but still reaches the store must not treat
    the unreachable gates as lost. It needs recent heartbeats from a majority
    of the witnesses, or of the VMs that the platform lists.

    Args:
        plan: The plan in force.
        reachable: VMs whose controllers sent a recent heartbeat, including
            its own.
        listed: VMs that the platform lists; empty before the first answer.
        gone: VMs that the platform no longer lists.
    """
    if not plan.witness_sets:
        return True
    witnesses = {row.vm for row in plan.witness_sets[-1].members}
    witnesses -= gone
    witnesses.difference_update(plan.gone)
    return _is_majority(reachable, witnesses) or _is_majority(reachable, listed)


def _is_majority(
    reachable: frozenset[str], members: set[str] | frozenset[str]
) -> bool:
    return 2 * len(reachable & members) > len(members)


class Readiness:
    """Tracks when a controller has enough information to plan."""

    def __init__(self, now: float):
        self._ready_at = now + WARM_UP_SECONDS
        self._next_plan = now
        self._last_tick = now
        self._first_gate_at: float | None = None
        self._is_urgent = False

    def record_tick(self, now: float, seconds: float) -> None:
        """Records a tick; a late one restarts the warm-up.

        Args:
            now: The current time.
            seconds: Tick interval.
        """
        if now - self._last_tick > seconds + STALL_THRESHOLD_SECONDS:
            self._ready_at = now + WARM_UP_SECONDS
        self._last_tick = now

    def begin_warm_up(self, now: float) -> None:
        """Starts the warm-up of a controller that has become a watcher."""
        self._ready_at = max(self._ready_at, now + WARM_UP_SECONDS)

    def wait_for_renewals(self, now: float) -> None:
        """Delays planning, as there is no quorum at the moment."""
        self._ready_at = max(self._ready_at, now + RENEWAL_WAIT_SECONDS)

    def record_gate(self, now: float) -> None:
        """Records that a gate has renewed."""
        if self._first_gate_at is None:
            self._first_gate_at = now

    def request_plan(self) -> None:
        """Makes the next plan due at the next tick."""
        self._is_urgent = True

    def may_plan(self, now: float, plan_version: int) -> bool:
        """Returns whether it is time to plan.

        Args:
            now: The current time.
            plan_version: Version of the plan in force; 0 before the first.
        """
        if now < self._ready_at:
            return False
        if plan_version == 0 and not self._has_waited_for_gates(now):
            return False
        return self._is_urgent or now >= self._next_plan

    def record_attempt(self, now: float) -> None:
        """Records an attempt to plan, whether or not it made a plan."""
        self._next_plan = now + MIN_PLAN_INTERVAL_SECONDS
        self._is_urgent = False

    def _has_waited_for_gates(self, now: float) -> bool:
        if self._first_gate_at is None:
            return False
        return now - self._first_gate_at >= FIRST_PLAN_DELAY_SECONDS
