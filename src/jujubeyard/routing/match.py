"""Finds the route of a call."""

from jujubeyard.routing import config


class RouteTable:
    """Routes by host and longest prefix.

    Attributes:
        configuration: The version that the table was built from.
    """

    def __init__(self, configuration: config.Configuration):
        self.configuration = configuration
        self._hosts: dict[str, dict[str, config.Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> config.Route | None:
        """Returns the route with the longest prefix of the path, if any.

        Args:
            host: Host header of the call, with or without a port.
            path: Path of the call without its query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
