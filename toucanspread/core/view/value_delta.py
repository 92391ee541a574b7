"""Differences between two values of a key, as copies of parts of the older one.

A part of the newer value that is also in the older one is copied from there, wherever
it stands; all other bytes are part of the delta. Nothing is assumed about the format of
the values.
"""

import hashlib
import struct

from toucanspread.core import data

BLOCK_BYTES = 32  # shorter common parts are not looked for
MAX_EDIT_COUNT = 16_384  # bounds the work to apply a delta
MAX_DELTA_SHARE = 1 / 16  # of the value's bytes; a value compresses to about 1 / 8
MAX_SEARCHED_SHARE = 1 / 16  # of the places in the value where a block is looked up
DIGEST_BYTES = 8

_EDIT = struct.Struct("<III")  # bytes of the delta, then offset and length of a copy


class DeltaError(Exception):
    """A delta is malformed, or is not one of the given base."""


class Delta(data.Record):
    """What has changed between a base and a value.

    :param size_bytes: size of the value.
    :param digest: digest of the whole value.
    :param edits: the parts of the value, in their order.
    :param added: the bytes that are not copied from the base.
    """

    size_bytes: int
    digest: bytes
    edits: bytes
    added: bytes

    @property
    def own_bytes(self) -> int:
        """Return the approximate size of the delta itself."""
        return len(self.edits) + len(self.added) + DIGEST_BYTES


def make_delta(base: bytes, value: bytes) -> Delta | None:
    """Return the delta between two values, or None if it would not be much smaller."""
    if len(value) - len(base) > len(value) * MAX_DELTA_SHARE:
        return None
    builder = _DeltaBuilder(base, value)
    if not builder.find_copies():
        return None
    edits, added = b"".join(builder.edits), b"".join(builder.added)
    return Delta(len(value), _make_digest(value), edits, added)


def apply_delta(base: bytes, delta: Delta) -> bytes:
    """Return the value that a delta stands for.

    Not more than ``delta.size_bytes`` are made.

    :raises DeltaError: when the delta is malformed, or is one of another base.
    """
    edit_count, rest_bytes = divmod(len(delta.edits), _EDIT.size)
    if rest_bytes or edit_count > MAX_EDIT_COUNT:
        raise DeltaError(f"edits of {len(delta.edits)} bytes")
    parts = []
    made_bytes = 0
    added_until = 0
    for added_bytes, offset, copied_bytes in _EDIT.iter_unpack(delta.edits):
        made_bytes += added_bytes + copied_bytes
        if made_bytes > delta.size_bytes:
            raise DeltaError(f"more than {delta.size_bytes} bytes")
        if offset + copied_bytes > len(base):
            raise DeltaError("copy of bytes that the base does not have")
        parts.append(delta.added[added_until : added_until + added_bytes])
        parts.append(base[offset : offset + copied_bytes])
        added_until += added_bytes
    value = b"".join(parts)
    if len(value) != delta.size_bytes or _make_digest(value) != delta.digest:
        raise DeltaError("value of another base")
    return value


class _DeltaBuilder:
    """Finds the parts of a value that its base has as well."""

    def __init__(self, base: bytes, value: bytes):
        self._base = base
        self._value = value
        self._done = 0  # the edits make the value up to here
        self._copied_until = 0  # end of the last copy in the base
        self._own_bytes = DIGEST_BYTES
        self._max_own_bytes = len(value) * MAX_DELTA_SHARE
        self.edits: list[bytes] = []
        self.added: list[bytes] = []

    def find_copies(self) -> bool:
        """Make the edits; return False if the values differ in too much."""
        base, value = self._base, self._value
        searched_count = int(len(value) * MAX_SEARCHED_SHARE)
        starts = range(0, len(base) - BLOCK_BYTES + 1, BLOCK_BYTES)
        offsets = {base[start : start + BLOCK_BYTES]: start for start in starts}
        position = 0
        prefix_bytes = _count_equal(base, 0, value, 0)
        if prefix_bytes:
            position = self._copy(0, 0, prefix_bytes)
        while position + BLOCK_BYTES <= len(value):
            block = value[position : position + BLOCK_BYTES]
            offset = offsets.get(block)
            if offset is None:
                position += 1
                searched_count -= 1
                if searched_count < 0:
                    return False
                continue
            position = self._copy_around(position, offset)
            if not self._is_small:
                return False
        if self._done < len(value):
            self._copy(len(value), 0, 0)
        return self._is_small

    @property
    def _is_small(self) -> bool:
        """Return whether the edits are worth sending."""
        if len(self.edits) > MAX_EDIT_COUNT:
            return False
        return self._own_bytes <= self._max_own_bytes

    def _copy_around(self, position: int, offset: int) -> int:
        """Copy all that is equal around two equal blocks; return where it ends."""
        base, value = self._base, self._value
        # A block may be in the base several times. The bytes after those that were
        # copied last are the most likely ones.
        expected = self._copied_until + position - self._done
        block = value[position : position + BLOCK_BYTES]
        if base[expected : expected + BLOCK_BYTES] == block:
            offset = expected
        end = position + _count_equal(base, offset, value, position)
        while position > self._done and offset > 0:
            if base[offset - 1] != value[position - 1]:
                break
            position -= 1
            offset -= 1
        return self._copy(position, offset, end - position)

    def _copy(self, position: int, offset: int, size_bytes: int) -> int:
        """Add the bytes before a position, then copy; return where the copy ends."""
        added = self._value[self._done : position]
        self.added.append(added)
        self.edits.append(_EDIT.pack(len(added), offset, size_bytes))
        self._own_bytes += _EDIT.size + len(added)
        self._copied_until = offset + size_bytes
        self._done = position + size_bytes
        return self._done


def _count_equal(base: bytes, offset: int, value: bytes, position: int) -> int:
    """Return how many bytes from two places on are equal."""
    limit = min(len(base) - offset, len(value) - position)
    equal = 0
    step = BLOCK_BYTES
    while equal < limit and step:
        step = min(step, limit - equal)
        start, end = offset + equal, offset + equal + step
        if base[start:end] == value[position + equal : position + equal + step]:
            equal += step
            step *= 2
            continue
        step //= 2
        limit = min(limit, equal + 2 * step + 1)
    return equal


def _make_digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()
