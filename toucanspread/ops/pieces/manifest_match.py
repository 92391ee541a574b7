"""Compares a manifest with the version of a model that was asked for.

The manifest of another version makes its pieces pass as those of the version wanted.
"""

from collections.abc import Callable

import msgspec

from toucanspread.core import decoder
from toucanspread.core.weights import piece_placement
from toucanspread.ops.http import answer_match, http1


class ManifestNames(msgspec.Struct, frozen=True):
    """What a manifest names; None where it names nothing."""

    model: str | None = None
    version: int | None = None


class NamedManifest(msgspec.Struct, frozen=True):
    """The manifest of a version, as entries send it.

    :param digests: the hex digests of its pieces, in order.
    """

    model: str
    version: int
    digests: tuple[str, ...]


class ManifestMatcher(answer_match.AnswerMatcher):
    """Expects the manifest of a version.

    :param decode: returns what an encoded manifest names; raises
        :class:`decoder.MalformedError` when that cannot be read.
    """

    def __init__(
        self,
        key: piece_placement.PieceKey,
        decode: Callable[[bytes], ManifestNames],
    ):
        self._expected = ManifestNames(key.model, key.version)
        self._decode = decode

    def match(self, head: http1.AnswerHead, body: bytes) -> answer_match.Match:
        """Return whether a manifest names the model and the version."""
        try:
            names = self._decode(body)
        except decoder.MalformedError:
            return answer_match.Match.UNNAMED
        if names == self._expected:
            return answer_match.Match.OWN
        if names.model is None or names.version is None:
            return answer_match.Match.UNNAMED
        return answer_match.Match.OTHER
