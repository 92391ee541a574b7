"""Checks that no size of request goes unserved: the callers' rule on large requests.

The largest tenth of a kind of request, and the fifth below it, are to be served at
least half as often as the whole kind.
"""

from collections.abc import Iterable
from typing import NamedTuple

from standins import simulated_request

MIN_BAND_RATIO = 0.5  # of the served part of the whole kind, from the users' rules
MAX_SIZE_FACTOR = 4.0  # a request is worth this many usual ones of its kind at most
BASE_VALUE, SIZE_VALUE = 0.3, 0.7
LATE_VALUE = 0.25  # of an answer on time


class Band(NamedTuple):
    """A part of the requests of a kind, in ascending order of size."""

    name: str
    lower: float
    upper: float


WHOLE = Band("whole", 0.0, 1.0)
FIFTH_BELOW = Band("fifth below", 0.7, 0.9)
LARGEST = Band("largest tenth", 0.9, 1.0)


def served_ratio(
    ends: Iterable[simulated_request.RequestEnd], kind: str, band: Band
) -> float:
    """Return the served part of a band of a kind."""
    ordered = sorted(
        (end for end in ends if end.kind == kind), key=lambda end: end.prompt_tokens
    )
    count = len(ordered)
    chosen = ordered[int(band.lower * count) : int(band.upper * count)]
    return sum(end.is_served for end in chosen) / len(chosen)


def list_violations(ends: Iterable[simulated_request.RequestEnd]) -> list[str]:
    """Return the bands that are served less than half as often as their kind."""
    ends = list(ends)
    violations = []
    for kind in sorted({end.kind for end in ends}):
        whole = served_ratio(ends, kind, WHOLE)
        for band in (FIFTH_BELOW, LARGEST):
            ratio = served_ratio(ends, kind, band)
            if ratio < MIN_BAND_RATIO * whole:
                violations.append(
                    f"{kind}: {band.name} served {ratio:.3f}, whole {whole:.3f}"
                )
    return violations


def value_ratio(ends: Iterable[simulated_request.RequestEnd]) -> float:
    """Return the value of the answers as a part of the value of all requests."""
    by_kind: dict[str, list[simulated_request.RequestEnd]] = {}
    for end in ends:
        by_kind.setdefault(end.kind, []).append(end)
    owed = earned = 0.0
    for kind_ends in by_kind.values():
        mean = sum(end.prompt_tokens for end in kind_ends) / len(kind_ends)
        for end in kind_ends:
            size_factor = BASE_VALUE + SIZE_VALUE * end.prompt_tokens / mean
            value = min(size_factor, MAX_SIZE_FACTOR)
            owed += value
            if end.is_served:
                earned += value * (1.0 if end.is_on_time else LATE_VALUE)
    return earned / owed
