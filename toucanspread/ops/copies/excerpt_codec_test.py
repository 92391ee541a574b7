"""Tests of the encoding of excerpts."""

import tracemalloc
import zlib

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core.view import store_view
from toucanspread.ops.copies import excerpt_codec

SMALLEST_MEMORY_BYTES = 168_000_000  # of the users' machines


def make_excerpt(size_bytes, revision=5, is_whole=False):
    changes = (
        store_view.KeyChange("a", revision - 1),
        store_view.KeyChange("b", revision, b"x" * size_bytes),
    )
    return store_view.Excerpt(
        revision,
        0.25,
        is_whole,
        changes,
        era=3,
        waited_s=0.5,
        contact_age_s=0.125,
        arriving_age_s=0.0625,
    )


class ExcerptCodecTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.encoder = excerpt_codec.ExcerptEncoder()

    def encode(self, excerpt, can_decompress=True):
        return self.encoder.encode(excerpt, can_decompress)

    def test_excerpts_are_equal_after_encoding_with_and_without_compression(self):
        for size_bytes in (0, 10, 100_000):
            for can_decompress in (False, True):
                excerpt = make_excerpt(size_bytes)
                body = self.encode(excerpt, can_decompress=can_decompress)
                self.assertEqual(excerpt, excerpt_codec.decode_excerpt(body))

    def test_a_copy_that_claims_a_time_in_the_future_is_no_excerpt(self):
        nan, infinite = float("nan"), float("inf")
        malformed = [
            *({"age_s": value} for value in (-1.0, -infinite, nan)),
            *({"contact_age_s": value} for value in (-1.0, -infinite, nan)),
            *({"arriving_age_s": value} for value in (-1.0, -infinite, nan)),
            *({"waited_s": value} for value in (-1.0, -infinite, infinite, nan)),
        ]
        for properties in malformed:
            for size_bytes in (10, 100_000):
                excerpt = msgspec.structs.replace(
                    make_excerpt(size_bytes), **properties
                )
                self.assertRaises(
                    excerpt_codec.ExcerptDecodeError,
                    excerpt_codec.decode_excerpt,
                    self.encode(excerpt),
                )

    def test_a_large_value_is_not_sent_in_full(self):
        self.assertLess(len(self.encode(make_excerpt(100_000))), 10_000)

    def test_a_process_without_compression_gets_an_excerpt_that_it_can_decode(self):
        body = self.encode(make_excerpt(100_000), can_decompress=False)
        self.assertGreater(len(body), 100_000)

    def test_excerpts_that_differ_in_one_property_do_not_share_their_changes(self):
        excerpts = [
            make_excerpt(2_000),
            make_excerpt(3_000, revision=6),
            make_excerpt(2_000, is_whole=True),
        ]
        for excerpt in excerpts * 2:
            body = self.encode(excerpt)
            self.assertEqual(excerpt, excerpt_codec.decode_excerpt(body))
        fewer = store_view.Excerpt(5, 0.25, False, excerpts[0].changes[1:])
        body = self.encode(fewer)
        self.assertEqual(fewer, excerpt_codec.decode_excerpt(body))
        other = store_view.Excerpt(
            5, 0.25, False, (excerpts[0].changes[0], excerpts[1].changes[1])
        )
        body = self.encode(other)
        self.assertEqual(other, excerpt_codec.decode_excerpt(body))

    def test_other_values_at_the_same_revisions_are_encoded_anew(self):
        for value in (b"x", b"y"):
            change = store_view.KeyChange("a", 5, value * 2_000)
            excerpt = store_view.Excerpt(5, 0.25, False, (change,))
            body = self.encode(excerpt)
            self.assertEqual(excerpt, excerpt_codec.decode_excerpt(body))

    def test_a_copy_read_again_at_the_same_revision_does_not_share_its_changes(self):
        for value in (b"y", b"z"):
            changes = (
                store_view.KeyChange("a", 7 + (value == b"z"), value * 2_000),
                store_view.KeyChange("b", 2, b"x"),
            )
            excerpt = store_view.Excerpt(5, 0.25, True, changes)
            body = self.encode(excerpt)
            self.assertEqual(excerpt, excerpt_codec.decode_excerpt(body))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_of_a_peer_are_an_error_of_their_own(self, body):
        try:
            excerpt_codec.decode_excerpt(body)
        except excerpt_codec.ExcerptDecodeError:
            return

    def test_a_truncated_stream_is_an_error(self):
        body = self.encode(make_excerpt(100_000))
        cut = body.replace(body[-40:], body[-40:-20] + bytes(20))
        self.assertRaises(
            excerpt_codec.ExcerptDecodeError, excerpt_codec.decode_excerpt, cut
        )

    def test_an_excerpt_that_would_fill_the_memory_is_an_error(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        size_bytes = 2 * excerpt_codec.MAX_DECOMPRESSED_BYTES
        excerpt = excerpt_codec.CompressedExcerpt(
            5, 0.25, False, zlib.compress(bytes(size_bytes), zlib.Z_BEST_SPEED)
        )
        body = msgspec.msgpack.encode(excerpt)
        tracemalloc.reset_peak()
        self.assertRaises(
            excerpt_codec.ExcerptDecodeError, excerpt_codec.decode_excerpt, body
        )
        peak_bytes = tracemalloc.get_traced_memory()[1]
        self.assertLess(peak_bytes, SMALLEST_MEMORY_BYTES / 4)
