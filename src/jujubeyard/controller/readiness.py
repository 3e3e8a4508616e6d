"""Decides when a controller may plan."""

from jujubeyard.plan import tables as plan_tables

PLAN_SECONDS = 0.1
"""Least time between two plans."""

WARM_UP_SECONDS = 1.5
"""How long a controller listens before it plans: after its start, a pause, or
when it becomes one of those that gates report to."""

HEAR_AGAIN_SECONDS = 0.6
"""How long a controller that did not hear enough listens before it plans, so
that all gates have renewed. More than two of their renewals."""

STALL_SECONDS = 0.5
"""A tick that is late by this much means that the process was paused."""

FIRST_PLAN_SECONDS = 1.0
"""How long the very first plan waits for more gates after the first one, so
that it doesn't give all targets to one gate."""


def hears_enough(
    plan: plan_tables.Plan,
    heard: frozenset[str],
    listed: frozenset[str],
    gone: frozenset[str],
) -> bool:
    """Returns whether a controller hears enough of the fleet to plan for it.

    One that is cut off but still reaches the store must not take silence for
    the loss of the others. It has to hear a majority of the witnesses, or of
    the VMs that the platform lists.

    Args:
        plan: The plan in force.
        heard: VMs whose controllers it has just heard, its own included.
        listed: VMs that the platform lists; empty if it has not said.
        gone: VMs that the platform has stopped to list.
    """
    if not plan.witness_sets:
        return True
    witnesses = {row.vm for row in plan.witness_sets[-1].members}
    witnesses -= gone
    witnesses.difference_update(plan.gone)
    return _is_majority(heard, witnesses) or _is_majority(heard, listed)


def _is_majority(
    heard: frozenset[str], members: set[str] | frozenset[str]
) -> bool:
    return 2 * len(heard & members) > len(members)


class Readiness:
    """Times after which a controller has heard enough to plan."""

    def __init__(self, now: float):
        self._ready_at = now + WARM_UP_SECONDS
        self._next_plan = now
        self._last_tick = now
        self._first_gate_at: float | None = None
        self._is_urgent = False

    def notice_tick(self, now: float, seconds: float) -> None:
        """Notes a tick; a late one restarts the warm-up.

        Args:
            now: The time.
            seconds: Length of a tick.
        """
        if now - self._last_tick > seconds + STALL_SECONDS:
            self._ready_at = now + WARM_UP_SECONDS
        self._last_tick = now

    def start_listening(self, now: float) -> None:
        """Notes that gates report from now on."""
        self._ready_at = max(self._ready_at, now + WARM_UP_SECONDS)

    def hear_again(self, now: float) -> None:
        """Notes that too little of the fleet is heard."""
        self._ready_at = max(self._ready_at, now + HEAR_AGAIN_SECONDS)

    def notice_gate(self, now: float) -> None:
        """Notes that a gate was heard."""
        if self._first_gate_at is None:
            self._first_gate_at = now

    def hurry(self) -> None:
        """Lets the next plan be made at the next tick."""
        self._is_urgent = True

    def may_plan(self, now: float, plan_version: int) -> bool:
        """Returns whether it is time to plan.

        Args:
            now: The time.
            plan_version: Version of the plan in force, or 0.
        """
        if now < self._ready_at:
            return False
        if plan_version == 0 and not self._has_waited(now):
            return False
        return self._is_urgent or now >= self._next_plan

    def planned(self, now: float) -> None:
        """Notes that a plan was considered."""
        self._next_plan = now + PLAN_SECONDS
        self._is_urgent = False

    def _has_waited(self, now: float) -> bool:
        if self._first_gate_at is None:
            return False
        return now - self._first_gate_at >= FIRST_PLAN_SECONDS
