"""Finds the parts of prompts that explain crashes of engines.

A part is a cause if it was suspect in several crashes at distinct moments. Parts that
always come together can't be told apart, so the cause is all of them together. The part
with the most crashes explains them; requests that were at the same engines by chance
are no cause then.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from toucanspread.core.entry import crash_evidence
from toucanspread.core.entry import data as entry_data

MIN_CRASH_COUNT = 3  # and as many moments
MIN_SHARED_COUNT = 2  # moments, of crashes that another part may have caused as well
# Of the unexplained crashes in the same span of time, counted by moments. Engines that
# crash for other reasons often have some rare part in common by chance.
MIN_SHARE = 0.25
# A request that is sent again after a crash may be at the next one by chance.
MIN_REQUEST_COUNT = 3
# A notice that a part is sound may be under way.
MIN_SUSPICION_S = 0.3
# Other entries may report another suspect request of the same crash.
REPORTS_COMPLETE_AFTER_S = 0.1


class Cause(NamedTuple):
    """Parts that crash engines if a prompt holds all of them."""

    parts: crash_evidence.PartSet
    crashes: frozenset[crash_evidence.Incarnation]


def explained_crashes(
    evidence: crash_evidence.CrashEvidence,
    known: Iterable[crash_evidence.PartSet],
) -> frozenset[crash_evidence.Incarnation]:
    """Return the crashes that known causes explain."""
    return frozenset().union(*(evidence.crashes_of(parts) for parts in known))


def find_causes(
    evidence: crash_evidence.CrashEvidence,
    known: Iterable[crash_evidence.PartSet],
    now_s: float,
) -> list[Cause]:
    """Return the causes of the crashes that known ones don't explain."""
    causes: list[Cause] = []
    for parts, crashes in _candidates(evidence, known):
        if now_s - min(map(evidence.began_s, crashes)) < MIN_SUSPICION_S:
            return causes
        causes.append(Cause(parts, crashes))
    return causes


def find_suspicion(
    evidence: crash_evidence.CrashEvidence,
    known: Iterable[crash_evidence.PartSet],
) -> list[Cause]:
    """Return the causes that :func:`find_causes` may find a little later."""
    return list(_candidates(evidence, known))


def is_ambiguous(cause: Cause, evidence: crash_evidence.CrashEvidence) -> bool:
    """Return whether another part may be the cause of the same crashes."""
    for part in evidence.parts():
        if part in cause.parts:
            continue
        shared = evidence.crashes_of_part(part) & cause.crashes
        if evidence.count_moments(shared) < MIN_SHARED_COUNT:
            continue
        # One request that is sent again may be at both crashes by chance.
        if evidence.count_requests(part, shared) >= MIN_SHARED_COUNT:
            return True
    return False


def find_common_parts(
    evidence: crash_evidence.CrashEvidence,
    known: Iterable[crash_evidence.PartSet],
    now_s: float,
) -> list[Cause]:
    """Return what suspects of unexplained crashes have in common with known causes.

    Parts that were taken for one cause because they came together can be told apart by
    a crash with only some of them.
    """
    known = list(known)
    narrower: set[crash_evidence.PartSet] = set()
    for incarnation in evidence.crashes() - explained_crashes(evidence, known):
        if now_s - evidence.began_s(incarnation) < REPORTS_COMPLETE_AFTER_S:
            continue
        for suspect in evidence.suspects_of(incarnation):
            common = {suspect.parts & parts for parts in known}
            narrower |= common - {frozenset()}
    return [
        Cause(parts, evidence.crashes_of(parts))
        for parts in sorted(narrower, key=sorted)
    ]


def _candidates(
    evidence: crash_evidence.CrashEvidence,
    known: Iterable[crash_evidence.PartSet],
) -> Iterator[Cause]:
    """Iterate over the causes of unexplained crashes, those of most crashes first."""
    open_crashes = {part: evidence.crashes_of_part(part) for part in evidence.parts()}
    explained = explained_crashes(evidence, known)
    while True:
        open_crashes = _without(open_crashes, explained)
        most = max(open_crashes.values(), key=_order_of, default=frozenset())
        if not most:
            return
        explained |= most
        if not _is_enough(evidence, most, explained):
            continue
        signatures = {
            evidence.common_parts(part)
            for part, crashes in open_crashes.items()
            if crashes == most
            and evidence.count_requests(part, crashes) >= MIN_REQUEST_COUNT
        }
        for parts in sorted(signatures, key=sorted):
            yield Cause(parts, most)


def _is_enough(
    evidence: crash_evidence.CrashEvidence,
    crashes: frozenset[crash_evidence.Incarnation],
    explained: frozenset[crash_evidence.Incarnation],
) -> bool:
    """Return whether crashes are too many to be by chance at the same requests."""
    moment_count = evidence.count_moments(crashes)
    if moment_count < MIN_CRASH_COUNT:
        return False
    others = evidence.crashes_during(crashes) - explained
    return moment_count >= MIN_SHARE * evidence.count_moments(crashes | others)


def _without(
    crashes_by_part: dict[
        entry_data.PromptPartId, frozenset[crash_evidence.Incarnation]
    ],
    explained: frozenset[crash_evidence.Incarnation],
) -> dict[entry_data.PromptPartId, frozenset[crash_evidence.Incarnation]]:
    """Return the parts that still have enough crashes without the explained ones."""
    remaining = {}
    for part, crashes in crashes_by_part.items():
        if len(crashes) < MIN_CRASH_COUNT:
            continue
        unexplained = crashes - explained
        if len(unexplained) >= MIN_CRASH_COUNT:
            remaining[part] = unexplained
    return remaining


def _order_of(
    crashes: frozenset[crash_evidence.Incarnation],
) -> tuple[int, list[crash_evidence.Incarnation]]:
    return len(crashes), sorted(crashes)
