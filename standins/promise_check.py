"""Checks the promises that are counted from the store's acknowledgement of a change.

Callers' probes and the begins of requests at engines are compared with what the store
had acknowledged. Machines that were disturbed a short while ago, and all machines after
the store was down, are excused.
"""

import collections
import enum
from typing import NamedTuple

STORE = "store"


class Promise(enum.Enum):
    """What is promised, each within a time after the acknowledgement."""

    CONFIGURATION = "configuration"
    NO_REGRESS = "no regress"
    DRAIN = "drain"
    VERSION = "version"
    EVACUATION = "evacuation"
    COLD = "cold"
    REGION = "region"


class Bounds(NamedTuple):
    """The times within which changes are in force.

    :param evacuation_s: time until nothing reaches engines of an evacuated zone.
    :param touch_s: time without disturbance after which a machine is in touch.
    """

    configuration_s: float
    drain_s: float = 2.0
    version_s: float = 8.0
    evacuation_s: float = 5.0
    touch_s: float = 3.0


SMALL_SITE = Bounds(configuration_s=2.0)
GROWN_SITE = Bounds(configuration_s=3.0)


class Violation(NamedTuple):
    """A promise that was not kept.

    :param machine: the entry or engine where it shows.
    :param late_s: time since the end of the bound; 0 if there is none.
    :param trace: what was known where, and which faults were active.
    """

    promise: Promise
    at_s: float
    machine: str
    late_s: float
    trace: str

    def __str__(self) -> str:
        return (
            f"{self.at_s:.2f}: {self.promise.value}, {self.machine}, "
            f"{self.late_s:.2f} s late, {self.trace}"
        )


class Disturbances:
    """When machines and the store were disturbed."""

    def __init__(self, touch_s: float):
        self._touch_s = touch_s
        self._active: dict[str, int] = {}
        self._ended_s: dict[str, float] = {}

    def begin(self, name: str) -> None:
        """Record the begin of a disturbance; several may overlap."""
        self._active[name] = self._active.get(name, 0) + 1

    def end(self, name: str, now_s: float) -> None:
        """Record the end of a disturbance."""
        self._active[name] -= 1
        self._ended_s[name] = now_s

    def last_disturbed_s(self, name: str, now_s: float) -> float:
        """Return the last time at which a machine was disturbed."""
        if self._active.get(name):
            return now_s
        return self._ended_s.get(name, float("-inf"))

    def is_in_touch(self, name: str, now_s: float) -> bool:
        """Return whether neither a machine nor the store was disturbed recently."""
        last_s = max(
            self.last_disturbed_s(name, now_s), self.last_disturbed_s(STORE, now_s)
        )
        return now_s - last_s > self._touch_s

    def was_calm_since(self, name: str, since_s: float, now_s: float) -> bool:
        """Return whether a machine was in touch at a time and not disturbed since."""
        last_s = max(
            self.last_disturbed_s(name, now_s), self.last_disturbed_s(STORE, now_s)
        )
        return since_s - last_s > self._touch_s


class Content(NamedTuple):
    """What a configuration allows.

    :param routes: host and path prefix of each route.
    """

    version: int
    routes: frozenset[tuple[str, str]]
    keys: frozenset[str]

    def allows(self, route: tuple[str, str], key: str) -> bool:
        """Return whether a request on a route with a key is allowed."""
        return route in self.routes and key in self.keys


class Configurations:
    """The configurations that the store acknowledged, in order."""

    def __init__(self, within_s: float):
        self._within_s = within_s
        self._written: list[tuple[float, Content]] = []

    def record(self, now_s: float, content: Content) -> None:
        """Record the acknowledgement of a configuration."""
        self._written.append((now_s, content))

    def in_force(self, now_s: float) -> list[Content]:
        """Return the configurations that entries may apply, the oldest one first."""
        oldest = 0
        for index, (written_s, _) in enumerate(self._written):
            if written_s + self._within_s < now_s:
                oldest = index
        return [content for _, content in self._written[oldest:]]

    def excess_s(self, revision: int, confirmed_s: float) -> float:
        """Return by how long a copy claims to be newer than it is; 0 if it is true.

        :param revision: revision of the copy.
        :param confirmed_s: time up to which it claims to be complete.
        """
        for written_s, content in self._written:
            if content.version > revision:
                return max(confirmed_s - written_s, 0.0)
        return 0.0

    def due_s(self, version: int) -> float:
        """Return the time from which a configuration has to be in force."""
        for written_s, content in self._written:
            if content.version == version:
                return written_s + self._within_s
        raise KeyError(version)


class Versions:
    """The versions of the weights that the store acknowledged."""

    def __init__(self, within_s: float):
        self._within_s = within_s
        self._named_s: dict[int, float] = {}

    def record(self, now_s: float, version: int) -> None:
        """Record the acknowledgement of a version."""
        self._named_s[version] = now_s

    def late_s(self, version: int, now_s: float, since_s: float) -> float:
        """Return how late a request begins on a version; negative if in time.

        :param since_s: time from which the bound counts for versions named before.
        """
        due = [
            max(named_s, since_s) + self._within_s
            for newer, named_s in self._named_s.items()
            if newer > version
        ]
        return max((now_s - due_s for due_s in due), default=float("-inf"))


class RecentArrivals:
    """Counts what arrived in the last second."""

    def __init__(self):
        self._arrivals_s: collections.deque[float] = collections.deque()

    def record(self, now_s: float) -> int:
        """Record an arrival; return how many there were in the second that ends now."""
        self._arrivals_s.append(now_s)
        while self._arrivals_s[0] <= now_s - 1.0:
            self._arrivals_s.popleft()
        return len(self._arrivals_s)
