"""Checks what reaches engines of the requests that crash them, and what else is lost.

The rules and their figures are the platform's. A prompt may have a part on which each
engine crashes that begins to write an answer. Entries must soon send no more requests
with that part, and go on to serve the sound requests of the same callers.
"""

import collections
from collections.abc import Hashable
from typing import NamedTuple

from standins import simulated_prompts
from toucanspread.core.entry import data as entry_data

STABLE_S = 3.0  # after the crash by which entries must know the part
KNOWN_AFTER_CRASH_COUNT = 5
REQUEST_KNOWN_AFTER_CRASH_COUNT = 3  # of one request that comes again
ALLOWED_REQUEST_COUNT = 3  # requests at engines later than that
IN_TOUCH_AFTER_S = 3.0  # after the end of a cut, or the start of an entry
SERVED_AFTER_S = 2 * STABLE_S  # after the same crash
MIN_SERVED_RATIO = 0.5  # of the part that begins without a disturbance
MIN_SAMPLE_COUNT = 20  # sound requests during the crashes, and before them


class EntryContact:
    """Which entries are in touch with the others; all are at first."""

    def __init__(self):
        self._lost: set[Hashable] = set()
        self._regained_s: dict[Hashable, float] = {}

    def lose(self, entry: Hashable) -> None:
        """Record that an entry is cut or stopped."""
        self._lost.add(entry)

    def regain(self, now_s: float, entry: Hashable) -> None:
        """Record that an entry is no longer cut, or that it has started."""
        self._lost.discard(entry)
        self._regained_s[entry] = now_s

    def is_in_touch(self, now_s: float, entry: Hashable) -> bool:
        """Return whether an entry was not restarted or cut for a while."""
        regained_s = self._regained_s.get(entry, float("-inf"))
        return entry not in self._lost and now_s >= regained_s + IN_TOUCH_AFTER_S


class Group(NamedTuple):
    """Requests of a route that have an API key or a first part in common.

    :param key: the API key; None for any.
    :param first_part: the first part of the prompts; None for any.
    """

    route: str
    key: str | None = None
    first_part: entry_data.PromptPartId | None = None


class SoundRequest(NamedTuple):
    """A request that crashes no engine.

    :param arrived_s: time of the caller's first attempt.
    :param has_begun: whether its answer began at the first attempt.
    """

    arrived_s: float
    route: str
    prompt: simulated_prompts.Prompt
    has_begun: bool


class PartRecord:
    """What is known of one crashing part, or of a request that comes again.

    :ivar known_after_count: number of crashes after which entries must know it.
    :ivar crashes_s: times of the crashes of engines by the part.
    :ivar sent_s: times at which entries in touch sent the requests that reached engines
        although the part should have been known.
    :ivar last_request_s: time at which the last request with the part came to an entry.
    :ivar groups: the groups that the requests with the part belong to.
    """

    def __init__(self):
        self.known_after_count = KNOWN_AFTER_CRASH_COUNT
        self.crashes_s: list[float] = []
        self.sent_s: list[float] = []
        self.last_request_s = 0.0
        self.groups: set[Group] = set()

    @property
    def known_s(self) -> float | None:
        """The time of the crash that makes the part known; None if there is none."""
        if len(self.crashes_s) < self.known_after_count:
            return None
        return self.crashes_s[self.known_after_count - 1]

    @property
    def served_from_s(self) -> float:
        """The time from which on sound requests are served again."""
        crashes_s = self.crashes_s[: self.known_after_count]
        return max(crashes_s, default=float("inf")) + SERVED_AFTER_S


class CrashCheck:
    """Records requests and crashes, and lists how the rules were broken.

    Of the groups of sound requests that are lost, the worst one is listed.

    :ivar contact: which entries are in touch.
    """

    def __init__(self):
        self.contact = EntryContact()
        self._parts: dict[entry_data.PromptPartId, PartRecord] = {}
        self._sound: list[SoundRequest] = []
        self._undisturbed_until_s = float("inf")

    def record_disturbance(self, now_s: float) -> None:
        """Record an unplanned disturbance of the engines or entries."""
        self._undisturbed_until_s = min(self._undisturbed_until_s, now_s)

    def record_request(
        self, now_s: float, route: str, prompt: simulated_prompts.Prompt
    ) -> None:
        """Record that a request with a crashing part came to an entry."""
        self.record_disturbance(now_s)
        record = self._parts.setdefault(prompt.crashing_part, PartRecord())
        record.last_request_s = now_s
        if prompt.repeated_request is not None:
            record.known_after_count = REQUEST_KNOWN_AFTER_CRASH_COUNT
        record.groups.update(_list_groups(route, prompt))

    def record_crash(self, now_s: float, part: entry_data.PromptPartId) -> None:
        """Record that an engine crashed on a part."""
        self._parts.setdefault(part, PartRecord()).crashes_s.append(now_s)

    def record_arrival(
        self, sent_s: float, entry: Hashable, part: entry_data.PromptPartId
    ) -> None:
        """Record that a request with a crashing part reached an engine.

        :param sent_s: time at which the entry sent it.
        """
        record = self._parts.setdefault(part, PartRecord())
        if record.known_s is None or sent_s <= record.known_s + STABLE_S:
            return
        if self.contact.is_in_touch(sent_s, entry):
            record.sent_s.append(sent_s)

    def record_sound(self, request: SoundRequest) -> None:
        """Record the outcome of the first attempt of a request at an entry in touch."""
        self._sound.append(request)

    def count_crashes(self, part: entry_data.PromptPartId) -> int:
        """Return the number of crashes of engines by a part."""
        return len(self._parts[part].crashes_s) if part in self._parts else 0

    def get_known_s(self, part: entry_data.PromptPartId) -> float | None:
        """Return the time of the crash that makes a part known; None without one."""
        return self._parts[part].known_s if part in self._parts else None

    def list_violations(self) -> list[str]:
        """Return how the rules were broken until now."""
        violations = []
        for part, record in self._parts.items():
            violations += self._check_budget(part, record)
            violations += self._check_lost(part, record)
        return violations

    def _check_budget(
        self, part: entry_data.PromptPartId, record: PartRecord
    ) -> list[str]:
        if len(record.sent_s) <= ALLOWED_REQUEST_COUNT:
            return []
        return [
            f"BUDGET {part}: {len(record.sent_s)} requests reached engines, sent "
            f"later than {STABLE_S} s after the crash at {record.known_s:.2f}, allowed "
            f"{ALLOWED_REQUEST_COUNT}; {len(record.crashes_s)} crashes"
        ]

    def _check_lost(
        self, part: entry_data.PromptPartId, record: PartRecord
    ) -> list[str]:
        before, during = self._count_sound(record)
        lost = []
        for group, outcomes in during.items():
            if min(len(outcomes), len(before[group])) < MIN_SAMPLE_COUNT:
                continue
            ratio = sum(outcomes) / len(outcomes)
            usual_ratio = sum(before[group]) / len(before[group])
            if ratio < MIN_SERVED_RATIO * usual_ratio:
                lost.append((ratio, group))
        if not lost:
            return []
        _, group = min(lost, key=lambda item: item[0])
        return [
            f"LOST {part}: {sum(during[group])} of {len(during[group])} sound requests "
            f"of {group} began at the first attempt after {record.served_from_s:.2f}, "
            f"{sum(before[group])} of {len(before[group])} before the crashes"
        ]

    def _count_sound(
        self, record: PartRecord
    ) -> tuple[dict[Group, list[bool]], dict[Group, list[bool]]]:
        """Return whether requests began, before and during the crashes, by group."""
        before = collections.defaultdict(list)
        during = collections.defaultdict(list)
        for sound in self._sound:
            groups = [
                group
                for group in _list_groups(sound.route, sound.prompt)
                if group in record.groups
            ]
            if not groups:
                continue
            groups.append(Group(sound.route))
            if sound.arrived_s < self._undisturbed_until_s:
                _add_outcome(before, groups, sound.has_begun)
            elif record.served_from_s <= sound.arrived_s <= record.last_request_s:
                _add_outcome(during, groups, sound.has_begun)
        return before, during


def _list_groups(route: str, prompt: simulated_prompts.Prompt) -> list[Group]:
    by_key = Group(route, key=prompt.key)
    return [by_key, Group(route, first_part=prompt.parts[0])]


def _add_outcome(
    outcomes: dict[Group, list[bool]], groups: list[Group], has_begun: bool
) -> None:
    for group in groups:
        outcomes[group].append(has_begun)
