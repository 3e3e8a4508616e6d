"""Divides the calls of a split route by weight."""

from jujubeyard.routing import config


class Splitter:
    """Smooth weighted round robin over the parts of each route.

    Each run of calls is divided as the weights say, with a difference of less
    than one call for each part.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def choose_service(self, route: config.Route) -> str:
        """Returns the service that serves the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        names = {part.service for part in route.shares}
        credit = self._credits.setdefault(route.name, {})
        if credit.keys() != names:
            credit.clear()
            credit.update(dict.fromkeys(names, 0.0))
        total = 0.0
        for part in route.shares:
            credit[part.service] += part.weight
            total += part.weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= total
        return chosen
