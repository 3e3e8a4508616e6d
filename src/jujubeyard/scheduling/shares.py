"""Shares of the calls of each route that get room at a service."""

import collections
import math

SHARE_HALF_LIFE_SECONDS = 5.0
"""Age at which a call has half its weight in the shares."""

GUARANTEED_SHARE = 0.4
"""Served share of a route, relative to that of all calls, below which the
route goes first. No route may fall below a quarter; the rest is for delay."""

MIN_ARRIVALS = 0.5
"""Weight of the arrivals from which on a route has a guarantee."""

UPDATE_INTERVAL_SECONDS = 0.01
"""How long the routes that are owed room are kept before they are found anew;
a node may handle thousands of calls in a second."""

MIN_WEIGHT = 0.01
"""Weight below which the calls of a route are forgotten."""


class RouteShares:
    """Arrivals at a service and calls that got room, with decaying weights."""

    def __init__(self, now: float):
        """Creates shares without any call.

        Args:
            now: Monotonic time, in seconds.
        """
        self._arrived: collections.Counter[str] = collections.Counter()
        self._served: collections.Counter[str] = collections.Counter()
        self._owed: frozenset[str] = frozenset()
        self._updated_at = now

    def observe_arrival(self, route: str) -> None:
        """Counts a call that arrived.

        Args:
            route: Name of its route.
        """
        self._arrived[route] += 1.0

    def observe_served(self, route: str) -> None:
        """Counts a call that got room.

        Args:
            route: Name of its route.
        """
        self._served[route] += 1.0

    def served_per_second(self) -> float:
        """Returns the rate of calls that got room lately."""
        return self._served.total() * math.log(2) / SHARE_HALF_LIFE_SECONDS

    def owed_routes(self, now: float) -> frozenset[str]:
        """Returns the routes that have got less than their guaranteed share.

        Args:
            now: Monotonic time, in seconds.
        """
        elapsed = now - self._updated_at
        if elapsed >= UPDATE_INTERVAL_SECONDS:
            self._decay(0.5 ** (elapsed / SHARE_HALF_LIFE_SECONDS))
            self._owed = self._find_owed()
            self._updated_at = now
        return self._owed

    def _find_owed(self) -> frozenset[str]:
        if not self._arrived:
            return frozenset()
        overall = self._served.total() / self._arrived.total()
        return frozenset(
            route
            for route, arrived in self._arrived.items()
            if arrived >= MIN_ARRIVALS
            and self._served[route] < GUARANTEED_SHARE * overall * arrived
        )

    def _decay(self, factor: float) -> None:
        """Multiplies all weights by a factor."""
        for counter in (self._arrived, self._served):
            for route in list(counter):
                counter[route] *= factor
                if counter[route] < MIN_WEIGHT:
                    del counter[route]
