"""Finds the route of a call by its host and path."""

from jujubeyard.routing import config


class RouteTable:
    """Looks up routes by host and longest path prefix.

    Attributes:
        configuration: The configuration that the table was built from.
        longest_objectives: For each service, the longest latency objective of
            the routes to it, in seconds.
    """

    def __init__(self, configuration: config.Configuration):
        self.configuration = configuration
        self.longest_objectives: dict[str, float] = {}
        self._routes_by_host: dict[str, dict[str, config.Route]] = {}
        for route in configuration.routes:
            self._add_objective(route)
            prefixes = self._routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def _add_objective(self, route: config.Route) -> None:
        for share in route.shares:
            longest = self.longest_objectives.get(share.service, 0.0)
            self.longest_objectives[share.service] = max(
                longest, route.objective
            )

    def find(self, host: str, path: str) -> config.Route | None:
        """Returns the route with the longest matching prefix, if any.

        Args:
            host: Host header of the call, with or without a port.
            path: Path of the call without its query.
        """
        prefixes = self._routes_by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
