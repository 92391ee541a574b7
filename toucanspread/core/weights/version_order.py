"""Decides which of two named versions of weights is fetched first, and when its pieces.

Entries and sidecars apply the same rule to what each of them still misses: entries to
the origin's link, sidecars to the link of their engine. The rule is applied again with
each observation, since a plan that was made when the newer version was named does not
know that the origin becomes unavailable.
"""

from collections.abc import Sequence
from typing import NamedTuple


class VersionProgress(NamedTuple):
    """What is left of a version.

    :param missing_count: pieces that are not held yet.
    :param due_s: from when on no request may begin on an older version.
    """

    missing_count: int
    due_s: float


class MissingPieces(NamedTuple):
    """The pieces of a version that a process still has to fetch.

    :param numbers: of these pieces.
    :param piece_count: pieces of the whole version.
    :param position: number of the piece that all processes together have come to; it
        may lie between two pieces of this process.
    """

    version: int
    numbers: Sequence[int]
    piece_count: int
    position: float


class PlannedFetch(NamedTuple):
    """A piece, and in how many seconds it is requested."""

    version: int
    number: int
    delay_s: float


def is_older_first(
    now_s: float,
    older: VersionProgress,
    newer: VersionProgress,
    piece_transfer_s: float,
    load_s: float,
    was_newer_first: bool = False,
) -> bool:
    """Return whether the older one of two versions is completed first.

    If the older one can be in time, it is first, unless the newer version would be
    loaded by then, too, and late after the older one. If the older one is late, it is
    first only if that shortens the time in which no version may be used that is loaded.

    :param piece_transfer_s: seconds that the link takes for a piece.
    :param load_s: seconds from the last piece until requests can begin.
    :param was_newer_first: whether the newer one was first before. It stays first while
        it will be loaded before the older one is due, since its first pieces would
        otherwise make room for the older one in the plan.
    """
    older_s = now_s + older.missing_count * piece_transfer_s + load_s
    newer_s = now_s + newer.missing_count * piece_transfer_s + load_s
    newer_after_s = older_s + newer.missing_count * piece_transfer_s
    if older_s <= older.due_s:
        is_newer_certain = newer_s <= older.due_s
        are_both_in_time = newer_after_s <= newer.due_s
        return not is_newer_certain or (are_both_in_time and not was_newer_first)
    if older_s >= newer.due_s:
        return False
    gap_older_first_s = older_s - older.due_s + max(newer_after_s - newer.due_s, 0.0)
    return gap_older_first_s < newer_s - older.due_s


def estimate_position(
    missing_numbers: Sequence[int], held_numbers: Sequence[int], piece_count: int
) -> float:
    """Return the piece that all processes came to before the origin went away.

    A process knows only its own pieces. The position lies between the last one that it
    got and the first one that it did not get; the middle lets the processes' requests
    neither all begin at once nor leave the link idle.
    """
    first = min(missing_numbers, default=piece_count)
    last_held = max((n for n in held_numbers if n < first), default=-1)
    return (last_held + 1 + first) / 2


def plan_fetches(
    missing: Sequence[MissingPieces], piece_transfer_s: float
) -> list[PlannedFetch]:
    """Return when a process requests its missing pieces from a link that many share.

    All processes fetch the pieces of a version in order of their numbers and start at
    about the same time, so that together they just saturate the link.

    :param missing: of each version, in the order in which versions are needed.
    :param piece_transfer_s: seconds that the link takes for a piece.
    """
    planned = []
    start_s = 0.0
    for pieces in missing:
        for number in sorted(pieces.numbers):
            ahead_count = max(number - pieces.position, 0.0)
            delay_s = start_s + ahead_count * piece_transfer_s
            planned.append(PlannedFetch(pieces.version, number, delay_s))
        start_s += max(pieces.piece_count - pieces.position, 0.0) * piece_transfer_s
    return planned
