"""What the entries know of crashes of engines, and of the requests that were there.

Several entries report the same crash, each for its own requests. A request is suspect
if the engine broke off when it had just begun, or before. The evidence names the parts
of its prompt of which no whole answer is known.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core.entry import data as entry_data

WINDOW_S = 60.0
MAX_CRASH_COUNT = 64
MAX_SUSPECT_COUNT = 24  # of one crash
# Engines that are lost together, e.g. with their instance, have a cause in common.
MOMENT_S = 0.05
# An engine that crashes because of a request does so as soon as it begins to answer.
JUST_BEGUN_S = 0.5
ALIVE_AFTER_S = 0.5  # a report may have been under way when the engine crashed

PartSet = frozenset[entry_data.PromptPartId]


class Incarnation(NamedTuple):
    """One life of an engine.

    :param born_ms: its start.
    """

    engine_id: str
    born_ms: int


class Suspect(NamedTuple):
    """A request that had just begun at an engine when it crashed.

    :param request: hash of its id.
    :param parts: parts of its prompt that are suspect.
    """

    request: int
    parts: PartSet


class _Crash:
    """One crash of an engine."""

    def __init__(self, began_s: float):
        self.began_s = began_s
        self.suspects: list[Suspect] = []


class CrashEvidence:
    """The crashes of the last time, with the parts of the suspect requests."""

    def __init__(self):
        self._crashes: dict[Incarnation, _Crash] = {}
        self._crashes_by_part: dict[entry_data.PromptPartId, set[Incarnation]] = {}

    def add(self, incarnation: Incarnation, suspect: Suspect, now_s: float) -> None:
        """Add a suspect request of a crash."""
        self.expire(now_s)
        crash = self._crashes.get(incarnation)
        if crash is None:
            if len(self._crashes) >= MAX_CRASH_COUNT:
                self._remove(next(iter(self._crashes)))
            crash = self._crashes[incarnation] = _Crash(now_s)
        if suspect in crash.suspects or len(crash.suspects) >= MAX_SUSPECT_COUNT:
            return
        crash.suspects.append(suspect)
        for part in suspect.parts:
            self._crashes_by_part.setdefault(part, set()).add(incarnation)

    def remove_part(self, part: entry_data.PromptPartId) -> bool:
        """Remove a part that is sound; return whether it was suspect."""
        incarnations = self._crashes_by_part.pop(part, None)
        if incarnations is None:
            return False
        for incarnation in incarnations:
            crash = self._crashes[incarnation]
            remaining = [
                Suspect(request, parts - {part}) for request, parts in crash.suspects
            ]
            crash.suspects = [suspect for suspect in remaining if suspect.parts]
            if not crash.suspects:
                del self._crashes[incarnation]
        return True

    def remove_if_alive(self, incarnation: Incarnation, now_s: float) -> bool:
        """Remove the crash of an engine that is alive; return whether it was one."""
        crash = self._crashes.get(incarnation)
        if crash is None or now_s - crash.began_s < ALIVE_AFTER_S:
            return False
        self._remove(incarnation)
        return True

    def expire(self, now_s: float) -> None:
        """Remove crashes that are too long ago."""
        for incarnation, crash in list(self._crashes.items()):
            if now_s - crash.began_s <= WINDOW_S:
                return
            self._remove(incarnation)

    def parts(self) -> Iterable[entry_data.PromptPartId]:
        """Return the parts that are suspect."""
        return self._crashes_by_part.keys()

    def crashes_of_part(self, part: entry_data.PromptPartId) -> frozenset[Incarnation]:
        """Return the crashes in which a part is suspect."""
        return frozenset(self._crashes_by_part.get(part, ()))

    def crashes_of(self, parts: PartSet) -> frozenset[Incarnation]:
        """Return the crashes with a suspect request that holds all of some parts."""
        candidates = [self._crashes_by_part.get(part, set()) for part in parts]
        return frozenset(
            incarnation
            for incarnation in set.intersection(*candidates)
            if any(parts <= each.parts for each in self._crashes[incarnation].suspects)
        )

    def crashes(self) -> frozenset[Incarnation]:
        """Return all crashes."""
        return frozenset(self._crashes)

    def suspects_of(self, incarnation: Incarnation) -> list[Suspect]:
        """Return the suspect requests of a crash."""
        return list(self._crashes[incarnation].suspects)

    def began_s(self, incarnation: Incarnation) -> float:
        """Return the time at which a crash was first reported."""
        return self._crashes[incarnation].began_s

    def common_parts(self, part: entry_data.PromptPartId) -> PartSet:
        """Return the parts that all suspect requests with a part hold."""
        holders = self._holders(part, self._crashes_by_part[part])
        return frozenset.intersection(*(suspect.parts for suspect in holders))

    def count_requests(
        self, part: entry_data.PromptPartId, incarnations: Iterable[Incarnation]
    ) -> int:
        """Return how many requests with a part are suspect in some crashes."""
        holders = self._holders(part, incarnations)
        return len({suspect.request for suspect in holders})

    def count_moments(self, incarnations: Iterable[Incarnation]) -> int:
        """Return at how many distinct moments some crashes began."""
        count = 0
        moment_s = float("-inf")
        for began_s in sorted(self.began_s(each) for each in incarnations):
            if began_s - moment_s <= MOMENT_S:
                continue
            count += 1
            moment_s = began_s
        return count

    def crashes_during(
        self, incarnations: Iterable[Incarnation]
    ) -> frozenset[Incarnation]:
        """Return all crashes from the first to the last of some."""
        times_s = [self.began_s(each) for each in incarnations]
        first_s, last_s = min(times_s), max(times_s)
        return frozenset(
            incarnation
            for incarnation, crash in self._crashes.items()
            if first_s <= crash.began_s <= last_s
        )

    def _holders(
        self, part: entry_data.PromptPartId, incarnations: Iterable[Incarnation]
    ) -> list[Suspect]:
        """Return the suspect requests with a part of some crashes."""
        return [
            suspect
            for incarnation in incarnations
            for suspect in self._crashes[incarnation].suspects
            if part in suspect.parts
        ]

    def _remove(self, incarnation: Incarnation) -> None:
        crash = self._crashes.pop(incarnation)
        for part in frozenset().union(*(each.parts for each in crash.suspects)):
            incarnations = self._crashes_by_part[part]
            incarnations.discard(incarnation)
            if not incarnations:
                del self._crashes_by_part[part]
