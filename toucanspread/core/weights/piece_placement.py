"""Places the pieces of a version's weights on entries.

A piece is a numbered part of a version; entries have much faster links than the
instances beside engines, and memory for a few versions. All processes rank the entries
alike for each piece: the first one in the origin's region owns the piece and fetches it
from there, and the first one of each other region serves it there. Thus each piece is
fetched from the origin once and crosses to each other region once, without any
coordination. When an entry goes away, only its own pieces move to other entries.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data, rendezvous
from toucanspread.core.entry import entry_directory

MAX_OTHER_FALLBACK_HOLDERS = 3  # beyond one per region; they hold a piece by chance
MANIFEST_NUMBER = -1  # the piece number under which a manifest is placed


class PieceKey(NamedTuple):
    """A piece of a version of a model's weights, or its manifest."""

    model: data.ModelName
    version: int
    number: int

    @property
    def text(self) -> str:
        """Return the key of the rendezvous hash."""
        return f"{self.model}/{self.version}/{self.number}"


def rank_owners(
    key: PieceKey,
    entries: Iterable[entry_directory.EntryRecord],
    origin_region: str = "",
) -> list[entry_directory.EntryRecord]:
    """Return the entries in the order in which they own a piece, the owner first.

    :param origin_region: region whose entries come before all others.
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
    """Return the entries that a process of a region asks for a piece, in order.

    :param region: region of the process; its entries come first.
    :param unresponsive: names of entries that did not answer lately; they come last.
    """
    ranked = rank_owners(key, entries)

    def rank(entry: entry_directory.EntryRecord) -> tuple[bool, bool]:
        return (entry.name in unresponsive, entry.region != region)

    return sorted(ranked, key=rank)


def is_kept_by(
    key: PieceKey, entries: Iterable[entry_directory.EntryRecord], name: str
) -> bool:
    """Return whether an entry keeps a piece for its region without being asked."""
    first_by_region = {
        entry.region: entry for entry in reversed(rank_owners(key, entries))
    }
    return any(entry.name == name for entry in first_by_region.values())


def rank_fallback_holders(
    key: PieceKey, entries: Iterable[entry_directory.EntryRecord], name: str
) -> list[entry_directory.EntryRecord]:
    """Return the other entries that may hold a piece, the likeliest first.

    A new owner asks them for the piece when the origin is unreachable.
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
    """Return the entry that another one asks for a piece, or None for the origin.

    :param name: the entry that needs the piece.
    :param origin_region: region whose entries own the pieces.
    """
    ranked = rank_owners(key, entries, origin_region)
    if not ranked or ranked[0].name == name:
        return None
    return ranked[0]
