"""Draws the engine of a request among those that look best to many entries at once.

The load of an engine in another zone is known some tenths of a second late, and the
entries of all zones know the same. If each of them sent its next request to the engine
that looks best, an engine that has just loaded its weights would get the requests of
all entries until its next report. Each entry therefore takes such an engine only with
the probability with which all entries together fill it up to the next best ones.

This answers the load of a change of weights, of engines that are added, and of the
first seconds after a loss of power, with up to hundreds of entries.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from toucanspread.core.entry import engines


class Candidate(NamedTuple):
    """An engine that may get the request.

    :param score_s: the expected wait at the engine, and the penalties for its use.
    :param is_load_exact: whether the entry knows of each request to the engine at once.
    """

    engine: engines.Engine
    score_s: float
    is_load_exact: bool


def draw(
    candidates: Sequence[Candidate], unseen_work_s: float, random_source: random.Random
) -> engines.Engine | None:
    """Return the engine that gets a request, or None if there is no candidate.

    :param unseen_work_s: time that one engine needs for the requests that all entries
        send before they know of each other's.
    """
    if not candidates:
        return None
    best = min(candidates, key=lambda candidate: candidate.score_s)
    if best.is_load_exact or unseen_work_s <= 0:
        return best.engine
    exact = [c for c in candidates if c.is_load_exact]
    best_exact = min(exact, key=lambda candidate: candidate.score_s, default=None)
    shared = sorted(
        (c for c in candidates if not c.is_load_exact), key=lambda c: c.score_s
    )
    level_s = _fill([c.score_s for c in shared], unseen_work_s)
    if best_exact is not None:
        level_s = min(level_s, best_exact.score_s)
    position_s = random_source.random() * unseen_work_s
    for candidate in shared:
        position_s -= max(level_s - candidate.score_s, 0.0)
        if position_s < 0:
            return candidate.engine
    return best.engine if best_exact is None else best_exact.engine


def _fill(scores_s: Sequence[float], work_s: float) -> float:
    """Return the level up to which work raises the lowest of some scores.

    :param scores_s: in ascending order, at least one.
    """
    total_s = 0.0
    level_s = scores_s[0]
    for count, score_s in enumerate(scores_s):
        if count and score_s * count - total_s >= work_s:
            break
        total_s += score_s
        level_s = (work_s + total_s) / (count + 1)
    return level_s
