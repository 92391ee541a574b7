"""Chooses the entries that a sidecar asks for a piece or a manifest.

Entries that did not answer lately come last, and each attempt for a piece that a holder
could not obtain begins with another holder.
"""

import collections
from collections.abc import Callable

from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement
from toucanspread.ops.pieces import piece_cache
from toucanspread.ops.telemetry import logs

MAX_HOLDER_ATTEMPTS = 3  # a holder asks others itself; the stager retries later
UNREACHABLE_BACKOFF_S = 2.0  # an unreachable entry is tried last for this time


class PieceHolders:
    """The entries that can serve pieces, and how they answered lately.

    :param entries: returns the entries.
    :param region: region of the engine that gets the pieces.
    """

    def __init__(
        self,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        region: str,
        reactor,
    ):
        self._entries = entries
        self._region = region
        self._reactor = reactor
        self._refusal_counts: collections.Counter[piece_placement.PieceKey] = (
            collections.Counter()
        )
        self._unreachable_until_s: dict[str, float] = {}

    def rank(self, key: piece_placement.PieceKey) -> list[entry_directory.EntryRecord]:
        """Return all holders of a piece or manifest, the best one first."""
        return piece_placement.rank_holders(
            key, self._entries(), self._region, self._list_unresponsive()
        )

    def list_to_ask(
        self, key: piece_placement.PieceKey
    ) -> list[entry_directory.EntryRecord]:
        """Return the holders to ask for a piece; each attempt begins with another one.

        The first one may be the only one that cannot obtain the piece.
        """
        ranked = self.rank(key)
        unresponsive = self._list_unresponsive()
        responsive = [h for h in ranked if h.name not in unresponsive]
        first = self._refusal_counts[key] % max(len(responsive), 1)
        rotated = responsive[first:] + responsive[:first]
        return (rotated + ranked[len(responsive) :])[:MAX_HOLDER_ATTEMPTS]

    def record_failure(
        self,
        key: piece_placement.PieceKey,
        holder: entry_directory.EntryRecord,
        error: piece_cache.PieceError,
    ) -> None:
        """Record that a holder did not send a piece or manifest."""
        if isinstance(error, piece_cache.UnreachableError):
            self._unreachable_until_s[holder.name] = (
                self._reactor.seconds() + UNREACHABLE_BACKOFF_S
            )
        logs.write("holder_failed", piece=key.text, holder=holder.name, why=str(error))

    def record_refusal(self, key: piece_placement.PieceKey) -> None:
        """Record that a holder answered that it cannot obtain a piece."""
        self._refusal_counts[key] += 1

    def record_fetched(self, key: piece_placement.PieceKey) -> None:
        """Record that a holder has sent a piece."""
        self._refusal_counts.pop(key, None)

    def forget_versions(self, is_superseded: Callable[[int], bool]) -> None:
        """Forget the refusals of pieces of versions that are not wanted any more."""
        for key in list(self._refusal_counts):
            if is_superseded(key.version):
                del self._refusal_counts[key]

    def _list_unresponsive(self) -> frozenset[str]:
        """Return the names of the entries that did not answer lately."""
        now_s = self._reactor.seconds()
        return frozenset(
            name
            for name, until_s in self._unreachable_until_s.items()
            if now_s < until_s
        )
