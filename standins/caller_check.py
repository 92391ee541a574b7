"""Checks what callers get while some requests crash engines, and afterwards.

Requests that crash engines are refused at once when their part is known, requests that
were running at an engine that crashed are resumed, sound requests are never refused for
their parts for long, and begin as before when all is over.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from standins import crash_check, simulated_prompts
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions

AT_ONCE_S = 0.1  # for the refusal of a request with a part that must be known
MIN_RESUMED_RATIO = 0.9  # of sound requests that ran at an engine that crashed
MIN_BREAK_COUNT = 10  # fewer breaks are not judged
MIN_REGAINED_RATIO = 0.9  # of the part that began before the crashes
MIN_PART_SAMPLE_COUNT = 10  # requests with a part, and with its place, after the faults
# Causes that name the state of the engines or of the entry, whatever the prompt is.
ENGINE_CAUSES = frozenset(
    {
        decisions.FailureCause.NO_ENGINE,
        decisions.FailureCause.ENGINES_FULL,
        decisions.FailureCause.ENGINES_LIMITED,
        decisions.FailureCause.ENGINE_FAILED,
        decisions.FailureCause.DEADLINE_EXCEEDED,
        decisions.FailureCause.RETRY_BUDGET_EXHAUSTED,
        decisions.FailureCause.LEAVING,
    }
)
# After these causes no other engine could take a request over.
UNAVAILABLE_CAUSES = ENGINE_CAUSES - {decisions.FailureCause.ENGINE_FAILED}


class FirstAttempt(NamedTuple):
    """The first attempt of a caller at an entry in touch.

    :param arrived_s: time of the attempt.
    :param duration_s: time from then to the first event or the refusal.
    :param has_begun: whether an event came.
    """

    arrived_s: float
    duration_s: float
    prompt: simulated_prompts.Prompt
    has_begun: bool


class Break(NamedTuple):
    """A request whose connection to an engine was lost.

    :param has_begun: whether events had come to the entry.
    :param runs: number of engines that may have run the request until then.
    :param cause: why it ended; None if it was sent to another engine.
    """

    at_s: float
    prompt: simulated_prompts.Prompt
    has_begun: bool
    runs: int
    cause: decisions.FailureCause | None


class Refusal(NamedTuple):
    """A request that an entry ended without a whole answer.

    :param runs: number of engines that may have run it.
    """

    at_s: float
    prompt: simulated_prompts.Prompt
    cause: decisions.FailureCause
    runs: int = 0


class CallerCheck:
    """Records what callers get, and lists how the rules were broken.

    :param crashes: knows from when on parts must be known.
    :ivar breaks: the connections to engines that were lost.
    """

    def __init__(self, crashes: crash_check.CrashCheck):
        self.breaks: list[Break] = []
        self._crashes = crashes
        self._attempts: list[FirstAttempt] = []
        self._refusals: list[Refusal] = []

    def record_first_attempt(self, attempt: FirstAttempt) -> None:
        """Record the outcome of the first attempt of a request at an entry in touch."""
        self._attempts.append(attempt)

    def record_break(self, broken: Break) -> None:
        """Record that a request's connection to an engine was lost."""
        self.breaks.append(broken)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that an entry ended a request without a whole answer."""
        self._refusals.append(refusal)

    def count_refusals(
        self, from_s: float = 0.0
    ) -> collections.Counter[decisions.FailureCause]:
        """Return the number of refused sound requests from a time on, by cause."""
        return collections.Counter(
            refusal.cause for refusal in self._sound_refusals(from_s)
        )

    def list_waits(self) -> list[str]:
        """Return the known crashing parts whose requests were not refused at once."""
        waits_s = collections.defaultdict(list)
        for attempt in self._attempts:
            part = attempt.prompt.crashing_part
            if part is None or not self._must_be_known(part, attempt.arrived_s):
                continue
            if attempt.has_begun or attempt.duration_s > AT_ONCE_S:
                waits_s[part].append(attempt.duration_s)
        return [
            f"WAIT {part}: {len(durations_s)} requests were not refused within "
            f"{AT_ONCE_S} s, the longest wait was {max(durations_s):.2f} s, allowed "
            f"{crash_check.ALLOWED_REQUEST_COUNT}"
            for part, durations_s in waits_s.items()
            if len(durations_s) > crash_check.ALLOWED_REQUEST_COUNT
        ]

    def list_unresumed(self) -> list[str]:
        """Return whether too many running sound requests ended with their engines.

        Only the first break of each request counts, and only if another engine could
        take it over.
        """
        causes = [
            broken.cause
            for broken in self.breaks
            if broken.prompt.crashing_part is None
            and broken.has_begun
            and broken.runs == 1
            and broken.cause not in UNAVAILABLE_CAUSES
        ]
        resumed_count = causes.count(None)
        if len(causes) < MIN_BREAK_COUNT:
            return []
        if resumed_count >= MIN_RESUMED_RATIO * len(causes):
            return []
        return [f"RESUMED: {resumed_count} of {len(causes)} running sound requests"]

    def list_refused_parts(self, from_s: float = 0.0) -> list[str]:
        """Return whether sound requests were refused for their parts.

        :param from_s: time from which on none may be refused.
        """
        refusals = [
            refusal
            for refusal in self._sound_refusals(from_s)
            if refusal.cause not in ENGINE_CAUSES
        ]
        if not refusals:
            return []
        unsent_count = sum(refusal.runs == 0 for refusal in refusals)
        return [
            f"REFUSED: {len(refusals)} sound requests from {from_s:.2f} on, the first "
            f"at {refusals[0].at_s:.2f}; {unsent_count} of them reached no engine"
        ]

    def list_kept_out(self, before_s: float, from_s: float) -> list[str]:
        """Return the sound parts whose requests do not begin as before.

        :param before_s: end of the time without faults.
        :param from_s: time from which on all faults are over.
        """
        before = [each for each in self._sound_attempts() if each.arrived_s < before_s]
        outcomes = collections.defaultdict(list)
        for attempt in self._sound_attempts():
            if attempt.arrived_s < from_s:
                continue
            for part in (None, *attempt.prompt.parts):
                outcomes[part].append(attempt.has_begun)
        usual_ratio = _get_begun_ratio([attempt.has_begun for attempt in before])
        return [
            f"KEPT {part or 'any part'}: {sum(begun)} of {len(begun)} sound requests "
            f"began after {from_s:.2f}, {usual_ratio:.2f} of them before the crashes"
            for part, begun in outcomes.items()
            if len(begun) >= MIN_PART_SAMPLE_COUNT
            and _get_begun_ratio(begun) < MIN_REGAINED_RATIO * usual_ratio
        ]

    def _must_be_known(self, part: entry_data.PromptPartId, now_s: float) -> bool:
        known_s = self._crashes.get_known_s(part)
        return known_s is not None and now_s > known_s + crash_check.STABLE_S

    def _sound_refusals(self, from_s: float) -> Iterable[Refusal]:
        return (
            refusal
            for refusal in self._refusals
            if refusal.at_s >= from_s and refusal.prompt.crashing_part is None
        )

    def _sound_attempts(self) -> Iterable[FirstAttempt]:
        return (
            attempt
            for attempt in self._attempts
            if attempt.prompt.crashing_part is None
        )


def _get_begun_ratio(outcomes: list[bool]) -> float:
    return sum(outcomes) / len(outcomes) if outcomes else 1.0
