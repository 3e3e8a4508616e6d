"""Finds the route of a call by its host and path."""

from jujubeyard.routing import config


class RouteTable:
    """Looks up routes by host and longest path prefix.

    Attributes:
        configuration: The configuration that the table was built from.
    """

    def __init__(self, configuration: config.Configuration):
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, config.Route]] = {}
        for route in configuration.routes:
            prefixes = self._routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

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
