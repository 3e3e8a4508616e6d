"""Splits the calls of a route between services by weight."""

from jujubeyard.routing import config


class Splitter:
    """Smooth weighted round robin over the services of each route.

    In any sequence of calls to a route, the number of calls to a service
    differs from its weighted share by less than one.
    """

    def __init__(self):
        self._credits_by_route: dict[str, dict[str, float]] = {}

    def choose_service(self, route: config.Route) -> str:
        """Returns the service for the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        names = {share.service for share in route.shares}
        credits = self._credits_by_route.setdefault(route.name, {})
        if credits.keys() != names:
            credits.clear()
            credits.update(dict.fromkeys(names, 0.0))
        total = 0.0
        for share in route.shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen
