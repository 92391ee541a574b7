"""Encodes excerpts of a copy of the store for the processes that follow it.

An entry sends the same changes to all followers of its zone, and its own link bounds
how soon the last one has them. Changes are therefore compressed, once for all
followers.
"""

import math
import zlib

import msgspec

from toucanspread.core import data, decoder
from toucanspread.core.view import store_position, store_view

MIN_COMPRESSED_BYTES = 1_024  # below, compression saves less than one packet
# The store's values that a process keeps take a few megabytes at the largest.
MAX_DECOMPRESSED_BYTES = 16_000_000
# Values that cannot be compressed are sent whole, with a few bytes more.
MAX_ENCODED_BYTES = MAX_DECOMPRESSED_BYTES + 65_536
MAX_DELTAS_BYTES = 2_000_000  # deltas of as many values as a copy keeps changes of
CACHED_COUNT = 8  # different sets of changes that followers ask for at the same time

_changes_decoder = decoder.MsgpackDecoder(tuple[store_view.KeyChange, ...])
_deltas_decoder = decoder.MsgpackDecoder(tuple[store_view.DeltaChange, ...])


class CompressedExcerpt(data.Record):
    """An excerpt whose changes are compressed.

    :param compressed_changes: zlib stream of the encoded changes.
    :param compressed_deltas: the same of the deltas; empty if there are none.
    """

    revision: int
    age_s: float
    is_whole: bool
    compressed_changes: bytes
    era: int = store_position.UNKNOWN_ERA
    waited_s: float = 0.0
    contact_age_s: float | None = None
    compressed_deltas: bytes = b""
    arriving_age_s: float | None = None


_excerpt_decoder = decoder.MsgpackDecoder(store_view.Excerpt | CompressedExcerpt)


class ExcerptDecodeError(Exception):
    """Bytes that a peer sent are no excerpt."""


class ExcerptEncoder:
    """Encodes excerpts of one copy, and keeps the latest compressed changes."""

    def __init__(self):
        # Values keep their hashes, so that a look-up does not read them again.
        self._compressed_by_changes: dict[tuple[data.Record, ...], bytes] = {}

    def encode(self, excerpt: store_view.Excerpt, can_decompress: bool) -> bytes:
        """Return the encoding of an excerpt.

        :param can_decompress: whether the receiver knows :class:`CompressedExcerpt`.
        """
        size_bytes = sum(len(change.value or b"") for change in excerpt.changes)
        size_bytes += sum(change.delta.own_bytes for change in excerpt.deltas)
        if not can_decompress or size_bytes < MIN_COMPRESSED_BYTES:
            return msgspec.msgpack.encode(excerpt)
        return msgspec.msgpack.encode(
            CompressedExcerpt(
                excerpt.revision,
                excerpt.age_s,
                excerpt.is_whole,
                self._compress(excerpt.changes),
                excerpt.era,
                excerpt.waited_s,
                excerpt.contact_age_s,
                self._compress(excerpt.deltas) if excerpt.deltas else b"",
                excerpt.arriving_age_s,
            )
        )

    def _compress(self, changes: tuple[data.Record, ...]) -> bytes:
        compressed = self._compressed_by_changes.get(changes)
        if compressed is None:
            encoded = msgspec.msgpack.encode(changes)
            compressed = zlib.compress(encoded, zlib.Z_BEST_SPEED)
            self._compressed_by_changes[changes] = compressed
            if len(self._compressed_by_changes) > CACHED_COUNT:
                oldest = next(iter(self._compressed_by_changes))
                del self._compressed_by_changes[oldest]
        return compressed


def decode_excerpt(body: bytes) -> store_view.Excerpt:
    """Decode an excerpt, compressed or not.

    :raises ExcerptDecodeError: when it is malformed.
    """
    try:
        excerpt = _excerpt_decoder.decode(body)
        _check_durations(excerpt)
        if isinstance(excerpt, store_view.Excerpt):
            return excerpt
        changes = _changes_decoder.decode(_decompress(excerpt.compressed_changes))
        deltas = ()
        if excerpt.compressed_deltas:
            deltas = _deltas_decoder.decode(
                _decompress(excerpt.compressed_deltas, MAX_DELTAS_BYTES)
            )
    except (decoder.MalformedError, zlib.error) as error:
        raise ExcerptDecodeError(str(error)) from error
    return store_view.Excerpt(
        excerpt.revision,
        excerpt.age_s,
        excerpt.is_whole,
        changes,
        excerpt.era,
        excerpt.waited_s,
        excerpt.contact_age_s,
        deltas,
        excerpt.arriving_age_s,
    )


def _check_durations(excerpt: store_view.Excerpt | CompressedExcerpt) -> None:
    """Check that an excerpt claims no time in the future.

    An age may be infinite, of a copy that was never complete.

    :raises ExcerptDecodeError: when one of its durations is negative or no number.
    """
    ages_s = (
        excerpt.age_s,
        excerpt.contact_age_s or 0.0,
        excerpt.arriving_age_s or 0.0,
    )
    if not all(age_s >= 0 for age_s in ages_s):
        raise ExcerptDecodeError(f"ages of {ages_s} s")
    if not 0 <= excerpt.waited_s < math.inf:
        raise ExcerptDecodeError(f"wait of {excerpt.waited_s} s")


def _decompress(compressed: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Return the bytes of a zlib stream.

    :raises ExcerptDecodeError: when they are more than ``max_bytes``, or the stream is
        not complete.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(compressed, max_bytes)
    if decompressor.unconsumed_tail:
        raise ExcerptDecodeError(f"more than {max_bytes} bytes")
    if not decompressor.eof:
        raise ExcerptDecodeError("incomplete")
    return decompressed
