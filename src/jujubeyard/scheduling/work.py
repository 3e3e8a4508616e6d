"""Estimates what calls cost before they are sent.

"Work" is the processing time of a call at a usual target of its service,
without the wait for a slot. Targets differ in speed: the processing time at a
target is the work, multiplied by the target's slowdown.

Estimates are hierarchical. The mean of a group of similar calls is averaged
with that of the wider group that contains it, by the number of observations.
"""

import collections
import collections.abc
import dataclasses
import zlib

from jujubeyard.scheduling import means

INITIAL_WORK_SECONDS = 0.15
"""Estimated work of a call to a service without observations."""

GROUP_DECAY = 0.98
"""Factor that each new call applies to earlier calls of the same group."""

PRIOR_CALLS = 8.0
"""Number of calls that the wider group counts as."""

MIN_SERVICE_CALLS = 10.0
"""Weighted number of calls from which on the work of a service is known."""

MIN_SPEED_CALLS = 5.0
"""That number from which on they tell the speed of the targets."""

MAX_ROUTES = 2_000
"""Largest number of services and routes whose work is kept."""

MAX_GROUPS = 4_096
"""Largest number of groups within routes whose work is kept."""

PATH_SEGMENTS = 2
"""Number of leading path segments that distinguish calls of a route."""

PATH_HASHES = 1_024
SIZE_BUCKET_BITS = 2
"""Bodies are in the same size bucket if their sizes differ by less than this
number of binary digits."""

OUTLIER_FACTOR = 4.0
"""Multiple of a group's mean above which an observation is cut off."""

OUTLIER_STREAK = 3
"""Number of outliers in a row that are no longer cut off: the work of the group
has changed."""

MIN_OUTLIER_WEIGHT = 5.0
"""Weight of a group from which on outliers are recognized."""

SPEED_DECAY = 0.9
"""Factor that each new call applies to earlier calls of the same target."""

SERVICE_SPEED_DECAY = 0.99
PRIOR_SPEED_CALLS = 1.0
"""Number of calls of usual speed that each target is taken to have served."""

MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 8.0
"""Bounds on the ratio of a processing time to the estimated work."""

MIN_RELATIVE_DEVIATION = 0.3
"""Smallest deviation of the work that is assumed, as a share of its mean."""

WAIT_RELATIVE_DEVIATION = 0.5
"""Standard deviation of an expected wait, as a share of it."""

MIN_OBSERVATION_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class CallTraits:
    """What is known about a call before it is sent.

    Attributes:
        service: Name of its service.
        route: Name of its route.
        path: Its path, without the query string.
        body_bytes: Size of its body.
        key: Its key; None if it has none.
    """

    service: str
    route: str
    path: str
    body_bytes: int
    key: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """The estimated work of a call.

    Attributes:
        seconds: Expected work.
        deviation: Standard deviation of the work, in seconds.
        service_seconds: Mean work of the calls of the service.
    """

    seconds: float
    deviation: float
    service_seconds: float


class _Group:
    """Work of similar calls, in which single outliers are cut off."""

    __slots__ = ("mean", "outliers")

    def __init__(self):
        self.mean = means.DecayingMean(GROUP_DECAY, INITIAL_WORK_SECONDS)
        self.outliers = 0

    def observe(self, seconds: float, weight: float) -> None:
        """Adds the work of a call."""
        limit = OUTLIER_FACTOR * self.mean.mean()
        if self.mean.weight < MIN_OUTLIER_WEIGHT or seconds <= limit:
            self.outliers = 0
        else:
            self.outliers += 1
            if self.outliers < OUTLIER_STREAK:
                seconds = limit
        self.mean.observe(seconds, weight)


class _GroupTable:
    """Groups by key; the one that was used least recently is dropped."""

    def __init__(self, max_groups: int):
        self._max_groups = max_groups
        self._groups: collections.OrderedDict[tuple, _Group] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._groups)

    def find(self, key: tuple) -> _Group | None:
        """Returns a group; None if it has no observations."""
        return self._groups.get(key)

    def observe(self, key: tuple, seconds: float, weight: float) -> None:
        """Adds the work of a call to a group."""
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
            if len(self._groups) > self._max_groups:
                self._groups.popitem(last=False)
        else:
            self._groups.move_to_end(key)
        group.observe(seconds, weight)


class WorkModel:
    """Work of calls and speeds of targets, learned from answered calls."""

    def __init__(self):
        self._routes = _GroupTable(MAX_ROUTES)
        self._groups = _GroupTable(MAX_GROUPS)
        self._speeds: dict[str, means.DecayingMean] = {}

    def size(self) -> int:
        """Returns the number of groups whose work is kept."""
        return len(self._routes) + len(self._groups)

    def estimate(self, traits: CallTraits) -> WorkEstimate | None:
        """Returns the estimated work of a call.

        It is None until enough calls of the service have been observed.
        """
        service = self._routes.find((traits.service,))
        if service is None or service.mean.weight < MIN_SERVICE_CALLS:
            return None
        return self._estimate(traits, service)

    def _estimate(self, traits: CallTraits, service: _Group) -> WorkEstimate:
        """Returns the estimated work of a call of an observed service."""
        service_seconds = service.mean.mean()
        seconds = service_seconds
        deviation = service.mean.deviation()
        for table, key in self._narrower_groups(traits):
            group = table.find(key)
            if group is None:
                continue
            seconds = group.mean.shrunk_mean(seconds, PRIOR_CALLS)
            if group.mean.weight >= PRIOR_CALLS:
                deviation = group.mean.deviation()
        deviation = max(deviation, MIN_RELATIVE_DEVIATION * seconds)
        return WorkEstimate(seconds, deviation, service_seconds)

    def observe(
        self,
        traits: CallTraits,
        speed: means.DecayingMean,
        seconds: float,
        weight: float = 1.0,
    ) -> None:
        """Adds an answered call.

        Args:
            traits: The call.
            speed: Ratios of processing times to estimated work at the target
                that served it; the call is added.
            seconds: Its processing time.
            weight: How much it counts; at most 1.0.
        """
        work_seconds = seconds / self.slowdown(traits.service, speed)
        self._observe_speed(traits, speed, seconds, weight)
        self._routes.observe((traits.service,), work_seconds, weight)
        for table, key in self._narrower_groups(traits):
            table.observe(key, work_seconds, weight)

    def slowdown(self, service: str, speed: means.DecayingMean) -> float:
        """Returns how much longer work takes at a target than usual.

        Args:
            service: Name of the target's service.
            speed: Ratios of processing times to estimated work at the target.
        """
        usual = self._speeds.get(service)
        if usual is None:
            return 1.0
        usual_ratio = usual.shrunk_mean(1.0, PRIOR_SPEED_CALLS)
        ratio = speed.shrunk_mean(usual_ratio, PRIOR_SPEED_CALLS)
        return min(max(ratio / usual_ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)

    def _observe_speed(
        self,
        traits: CallTraits,
        speed: means.DecayingMean,
        seconds: float,
        weight: float,
    ) -> None:
        """Adds the speed at which a call was served."""
        service = self._routes.find((traits.service,))
        if service is None or service.mean.weight < MIN_SPEED_CALLS:
            return
        estimate = self._estimate(traits, service)
        ratio = min(max(seconds / estimate.seconds, MIN_SLOWDOWN), MAX_SLOWDOWN)
        usual = self._speeds.get(traits.service)
        if usual is None:
            usual = self._speeds[traits.service] = means.DecayingMean(
                SERVICE_SPEED_DECAY, 1.0
            )
            if len(self._speeds) > MAX_ROUTES:
                del self._speeds[next(iter(self._speeds))]
        usual.observe(ratio, weight)
        speed.observe(ratio, weight)

    def _narrower_groups(
        self, traits: CallTraits
    ) -> collections.abc.Iterator[tuple[_GroupTable, tuple]]:
        """Yields the groups of a call within its service, widest first."""
        route = (traits.service, traits.route)
        yield self._routes, route
        size = (*route, "size", _size_bucket(traits.body_bytes))
        yield self._groups, size
        yield self._groups, (*size, "path", _hash_path(traits.path))
        if traits.key is not None:
            yield self._groups, (*size, "key", traits.key)


def make_speed() -> means.DecayingMean:
    """Returns an empty mean of a target's slowdown."""
    return means.DecayingMean(SPEED_DECAY, 1.0)


def split_duration(
    duration: float, wait: float, work: float, deviation: float
) -> tuple[float, float]:
    """Splits the duration of a call into its wait and its processing time.

    The difference between the duration and what was expected is divided in
    proportion to the variances of wait and processing time.

    Args:
        duration: Time from sending the call to its answer, in seconds.
        wait: Expected wait for a slot, in seconds.
        work: Expected processing time, in seconds.
        deviation: Standard deviation of the processing time, in seconds.

    Returns:
        The processing time in seconds, and the weight of this observation.
    """
    if wait <= 0.0:
        return duration, 1.0
    variance = deviation * deviation
    share = variance / (variance + (WAIT_RELATIVE_DEVIATION * wait) ** 2)
    seconds = work + share * (duration - wait - work)
    seconds = min(max(seconds, MIN_OBSERVATION_WEIGHT * duration), duration)
    return seconds, max(share, MIN_OBSERVATION_WEIGHT)


def _size_bucket(size: int) -> int:
    return size.bit_length() // SIZE_BUCKET_BITS


def _hash_path(path: str) -> int:
    """Returns the hash of the leading segments of a path."""
    leading = "/".join(path.split("/", PATH_SEGMENTS + 1)[: PATH_SEGMENTS + 1])
    return zlib.crc32(leading.encode()) % PATH_HASHES
