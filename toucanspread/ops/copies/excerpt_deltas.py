"""Replaces values in excerpts by what has changed in them, and the reverse.

A configuration of many routes is large, and most changes concern one route. The
processes that follow a copy have the value before.
"""

import msgspec

from toucanspread.core.view import store_view, value_delta, value_history
from toucanspread.ops.copies import excerpt_codec

CACHED_COUNT = 16  # pairs of values that followers need deltas of at the same time


class DeltaMaker:
    """Makes deltas from the past values of one copy, and keeps the latest.

    :param past_values: the values that the followers may have.
    """

    def __init__(self, past_values: value_history.ValueHistory):
        self._past_values = past_values
        # Values keep their hashes, so that a look-up does not read them again.
        self._deltas: dict[tuple[bytes, bytes], value_delta.Delta | None] = {}

    def shorten(self, excerpt: store_view.Excerpt, after: int) -> store_view.Excerpt:
        """Return an excerpt with deltas for the values that the receiver had.

        :param after: revision of the receiver's copy, which is of the same era; 0 if it
            has none that deltas fit to.
        """
        if after <= 0:
            return excerpt
        changes = []
        deltas = []
        for change in excerpt.changes:
            delta = self._make_delta_change(change, after)
            if delta is None:
                changes.append(change)
            else:
                deltas.append(delta)
        return msgspec.structs.replace(
            excerpt, changes=tuple(changes), deltas=tuple(deltas)
        )

    def _make_delta_change(
        self, change: store_view.KeyChange, after: int
    ) -> store_view.DeltaChange | None:
        if change.value is None:
            return None
        base = self._past_values.find(change.key, after)
        if base is None:
            return None
        delta = self._make_delta(base.value, change.value)
        if delta is None:
            return None
        return store_view.DeltaChange(change.key, change.revision, base.revision, delta)

    def _make_delta(self, base: bytes, value: bytes) -> value_delta.Delta | None:
        values = (base, value)
        if values not in self._deltas:
            self._deltas[values] = value_delta.make_delta(base, value)
            if len(self._deltas) > CACHED_COUNT:
                del self._deltas[next(iter(self._deltas))]
        return self._deltas[values]


def apply_deltas(
    excerpt: store_view.Excerpt, view: store_view.View
) -> store_view.Excerpt:
    """Return an excerpt with values in place of deltas.

    :param view: the copy that the deltas are to be applied to; it is not changed.
    :raises excerpt_codec.ExcerptDecodeError: when they do not fit to the copy or are
        malformed.
    """
    if not excerpt.deltas:
        return excerpt
    size_bytes = sum(change.delta.size_bytes for change in excerpt.deltas)
    if size_bytes > excerpt_codec.MAX_DECOMPRESSED_BYTES:
        raise excerpt_codec.ExcerptDecodeError(f"deltas of {size_bytes} bytes")
    changes = list(excerpt.changes)
    for change in excerpt.deltas:
        changes.append(_apply_delta(change, view))
    changes.sort(key=lambda change: change.revision)
    return msgspec.structs.replace(excerpt, changes=tuple(changes), deltas=())


def _apply_delta(
    change: store_view.DeltaChange, view: store_view.View
) -> store_view.KeyChange:
    base = view.get(change.key)
    if base is None or base.revision != change.base_revision:
        raise excerpt_codec.ExcerptDecodeError(
            f"no revision {change.base_revision} of {change.key}"
        )
    try:
        value = value_delta.apply_delta(base.value, change.delta)
    except value_delta.DeltaError as error:
        raise excerpt_codec.ExcerptDecodeError(f"{change.key}: {error}") from error
    return store_view.KeyChange(change.key, change.revision, value)
