"""Which entry holds which piece of a version's weights.

Entries have far wider links than the instances beside engines, and memory for a few
versions. Every process ranks the entries alike for each piece: the first in the
origin's region is its owner and takes it from there, the first of a region hands it on
in it. So each piece leaves the origin once, crosses to each other region once, and
nothing has to be agreed on; when an entry goes away, only its pieces move.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data, rendezvous
from toucanspread.core.entry import entry_directory

MAX_OTHER_FALLBACK_HOLDERS = 3  # beyond one a region, they hold a piece only by chance
MANIFEST_NUMBER = -1  # the number under which a manifest is placed among the entries


class PieceKey(NamedTuple):
    """A piece of a version of a model's weights, or its manifest."""

    model: data.ModelName
    version: int
    number: int

    @property
    def text(self) -> str:
        """Return the key under which entries are ranked."""
        return f"{self.model}/{self.version}/{self.number}"


def rank_owners(
    key: PieceKey,
    entries: Iterable[entry_directory.EntryRecord],
    origin_region: str = "",
) -> list[entry_directory.EntryRecord]:
    """Return the entries in the order in which they own a piece.

    :param home: the region of the origin; those of others come after its entries.
    """
    by_name = {entry.name: entry for entry in entries}
    ranked = [by_name[name] for name in rendezvous.rank(key.text, by_name)]
    return sorted(ranked, key=lambda entry: entry.region != origin_region)


def rank_holders(
    key: PieceKey,
    entries: Iterable[entry_directory.EntryRecord],
    region: str,
    unresponsive: frozenset[str] = frozenset(),
) -> list[entry_directory.EntryRecord]:
    """Return the entries to ask for a piece from a region, the nearest first.

    :param silent: names of entries that did not answer lately; they come last.
    """
    ranked = rank_owners(key, entries)

    def rank(entry: entry_directory.EntryRecord) -> tuple[bool, bool]:
        return (entry.name in unresponsive, entry.region != region)

    return sorted(ranked, key=rank)


def is_kept_by(
    key: PieceKey, entries: Iterable[entry_directory.EntryRecord], name: str
) -> bool:
    """Tell whether an entry keeps a piece without being asked: one a region does."""
    first_by_region = {
        entry.region: entry for entry in reversed(rank_owners(key, entries))
    }
    return any(entry.name == name for entry in first_by_region.values())


def rank_fallback_holders(
    key: PieceKey, entries: Iterable[entry_directory.EntryRecord], name: str
) -> list[entry_directory.EntryRecord]:
    """Return the other entries that may hold a piece, the likeliest first.

    An owner that has just become one finds it there when the origin is away.
    """
    ranked = [entry for entry in rank_owners(key, entries) if entry.name != name]
    first_by_region = {entry.region: entry for entry in reversed(ranked)}
    likely_holders = [entry for entry in ranked if entry in first_by_region.values()]
    return (
        likely_holders
        + [entry for entry in ranked if entry not in likely_holders][
            :MAX_OTHER_FALLBACK_HOLDERS
        ]
    )


def find_upstream(
    key: PieceKey,
    entries: Iterable[entry_directory.EntryRecord],
    name: str,
    origin_region: str = "",
) -> entry_directory.EntryRecord | None:
    """Return whom an entry asks for a piece, or None for the origin itself.

    :param home: the region of the origin.
    """
    ranked = rank_owners(key, entries, origin_region)
    if not ranked or ranked[0].name == name:
        return None
    return ranked[0]
