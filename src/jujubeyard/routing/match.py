"""Finds the route of a call by its host and path."""

from jujubeyard.routing import config

MatchedRoute = config.Route | config.UnreadableRoute


class RouteTable:
    """Looks up routes by host and longest path prefix.

    Attributes:
        configuration: The configuration that the table was built from.
    """

    def __init__(self, configuration: config.Configuration):
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, MatchedRoute]] = {}
        self._hosts_without_prefix: set[str] = set()
        self._has_route_without_host = False
        for route in configuration.routes:
            self._add(route)
        for route in configuration.unreadable_routes:
            self._add_unreadable(route)

    def _add(self, route: MatchedRoute) -> None:
        prefixes = self._routes_by_host.setdefault(route.host.lower(), {})
        prefixes[route.prefix] = route

    def _add_unreadable(self, route: config.UnreadableRoute) -> None:
        if route.host is None:
            self._has_route_without_host = True
        elif route.prefix is None:
            self._hosts_without_prefix.add(route.host.lower())
        else:
            self._add(route)

    def may_lack_route(self, host: str) -> bool:
        """Returns whether calls of a host may belong to an unreadable route.

        Args:
            host: Host header of the calls, with or without a port.
        """
        return (
            self._has_route_without_host
            or _host_name(host) in self._hosts_without_prefix
        )

    def find(self, host: str, path: str) -> MatchedRoute | None:
        """Returns the route with the longest matching prefix, if any.

        It may be one that can't be read; a shorter prefix doesn't stand in for
        it.

        Args:
            host: Host header of the call, with or without a port.
            path: Path of the call without its query.
        """
        prefixes = self._routes_by_host.get(_host_name(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _host_name(host: str) -> str:
    """Returns the name in a Host header, in lower case."""
    return host.partition(":")[0].lower()
