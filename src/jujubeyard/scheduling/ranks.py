"""Ranks the priorities of a service's routes."""

import bisect

from jujubeyard.routing import config
from jujubeyard.scheduling import waiting


class PriorityRanks:
    """The ranks of priorities by the latest configuration."""

    def __init__(self):
        self._configuration: config.Configuration | None = None
        self._urgencies: dict[str, list[int]] = {}

    def rank(
        self, cfg: config.Configuration, service: str, urgency: int
    ) -> int:
        """Returns how many priorities of a service's routes are more urgent.

        Args:
            cfg: The configuration.
            service: Name of the service.
            urgency: The priority; 0 is the most urgent.
        """
        if cfg is not self._configuration:
            self._configuration = cfg
            self._urgencies = waiting.find_priorities(cfg)
        return bisect.bisect_left(self._urgencies.get(service, ()), urgency)
