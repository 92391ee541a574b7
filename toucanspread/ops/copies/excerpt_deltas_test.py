"""Tests of deltas in the excerpts between two copies."""

import random
import tracemalloc
from unittest import mock

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core.view import store_view, value_delta
from toucanspread.ops.copies import excerpt_codec, excerpt_deltas

VALUE = random.Random(1).randbytes(50_000)
SMALLEST_MEMORY_BYTES = 168_000_000  # of the users' machines


def make_change(revision, key="a"):
    return store_view.KeyChange(key, revision, VALUE + b"%d" % revision)


def make_copy(*revisions):
    view = store_view.View()
    for revision in revisions:
        view.apply([make_change(revision)], revision, 0.0)
    return view


class ExcerptDeltasTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.leader = make_copy(1, 3, 5)
        self.maker = excerpt_deltas.DeltaMaker(self.leader.past_values)
        self.encoder = excerpt_codec.ExcerptEncoder()

    def send(self, follower, can_decompress=True):
        """Return the excerpt that a follower decodes, and its size."""
        after = follower.revision
        excerpt = self.leader.make_excerpt(after, ("",), 0.0)
        excerpt = self.maker.shorten(excerpt, after)
        body = self.encoder.encode(excerpt, can_decompress)
        return excerpt_codec.decode_excerpt(body), len(body)

    def follow(self, follower, can_decompress=True):
        """Update a follower's copy; return the size of the excerpt."""
        excerpt, size_bytes = self.send(follower, can_decompress)
        excerpt = excerpt_deltas.apply_deltas(excerpt, follower)
        if excerpt.is_whole:
            follower.replace(excerpt.changes, excerpt.revision, 0.0)
        else:
            follower.apply(excerpt.changes, excerpt.revision, 0.0)
        return size_bytes

    def assert_equal_copies(self, follower):
        self.assertEqual(self.leader.revision, follower.revision)
        for key in ("a", "b", "c"):
            self.assertEqual(self.leader.get(key), follower.get(key))

    def test_followers_with_older_copies_get_the_value_without_all_its_bytes(self):
        for revisions in ((1,), (1, 3), (3,)):
            for can_decompress in (False, True):
                follower = make_copy(*revisions)
                self.assertLess(self.follow(follower, can_decompress), 1_000)
                self.assert_equal_copies(follower)

    def test_a_follower_with_a_copy_that_the_leader_never_had_gets_the_value(self):
        for revisions in ((2,), (1, 4)):
            follower = make_copy(*revisions)
            self.assertGreater(self.follow(follower), len(VALUE) / 2)
            self.assert_equal_copies(follower)

    def test_a_follower_without_a_copy_gets_all_items(self):
        follower = store_view.View()
        self.assertGreater(self.follow(follower), len(VALUE) / 2)
        self.assert_equal_copies(follower)

    def test_deltas_values_and_deletions_of_one_excerpt_are_all_applied(self):
        follower = make_copy(1, 3, 5)
        changes = [
            make_change(6, "b"),
            store_view.KeyChange("c", 7, b"small"),
            make_change(8),
            store_view.KeyChange("b", 9),
            make_change(10, "b"),
        ]
        self.leader.apply(changes, 10, 0.0)
        self.follow(follower)
        self.assert_equal_copies(follower)
        self.assertEqual([7, 8, 10], self.list_revisions(follower, after=5))

    def test_followers_of_a_follower_get_changes_in_the_order_of_revisions(self):
        follower = make_copy(1, 3, 5)
        changes = [make_change(6), store_view.KeyChange("c", 7, b"small")]
        self.leader.apply(changes, 7, 0.0)
        self.follow(follower)
        self.assertEqual([7], self.list_revisions(follower, after=6))
        self.assertEqual([6, 7], self.list_revisions(follower, after=5))

    def list_revisions(self, view, after):
        excerpt = view.make_excerpt(after, ("",), 0.0)
        return [change.revision for change in excerpt.changes]

    def test_the_same_delta_is_made_once_for_all_followers(self):
        with mock.patch.object(
            value_delta, "make_delta", wraps=value_delta.make_delta
        ) as make_delta:
            for _ in range(25):
                self.follow(make_copy(1, 3))
        self.assertEqual(1, make_delta.call_count)

    def test_a_delta_of_another_value_is_an_error_and_changes_nothing(self):
        follower = make_copy(1, 3)
        excerpt, _ = self.send(follower)
        other = store_view.View()
        other.apply([store_view.KeyChange("a", 3, b"x" + VALUE)], 3, 0.0)
        for view in (other, make_copy(1), make_copy(1, 4), store_view.View()):
            items = view.list_as_changes()
            self.assert_refused(excerpt, view)
            self.assertEqual(items, view.list_as_changes())

    def test_deltas_that_would_fill_the_memory_are_an_error(self):
        base = bytes(1_000_000)
        view = store_view.View()
        view.apply([store_view.KeyChange("a", 1, base)], 1, 0.0)
        value = base * 15 + b"x"
        edits = b"".join(
            value_delta._EDIT.pack(0, 0, len(base)) for _ in range(15)
        ) + value_delta._EDIT.pack(1, 0, 0)
        delta = value_delta.Delta(
            len(value), value_delta._make_digest(value), edits, b"x"
        )
        self.assertEqual(value, value_delta.apply_delta(base, delta))
        deltas = tuple(store_view.DeltaChange("a", 2, 1, delta) for _ in range(50))
        excerpt = store_view.Excerpt(2, 0.0, False, deltas=deltas)
        body = self.encoder.encode(excerpt, can_decompress=True)
        del value
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assert_refused(excerpt_codec.decode_excerpt(body), view)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        self.assertLess(peak_bytes, SMALLEST_MEMORY_BYTES / 4)

    @given(
        st.integers(-(1 << 40), 1 << 40),
        st.binary(max_size=40),
        st.binary(max_size=40),
        st.binary(max_size=9),
    )
    def test_malformed_deltas_are_an_error_of_their_own(
        self, size_bytes, edits, added, digest
    ):
        delta = value_delta.Delta(size_bytes, digest, edits, added)
        change = store_view.DeltaChange("a", 4, 3, delta)
        excerpt = store_view.Excerpt(4, 0.0, False, deltas=(change,))
        body = msgspec.msgpack.encode(excerpt)
        self.assert_refused(excerpt_codec.decode_excerpt(body), make_copy(1, 3))

    def assert_refused(self, excerpt, view):
        self.assertRaises(
            excerpt_codec.ExcerptDecodeError,
            excerpt_deltas.apply_deltas,
            excerpt,
            view,
        )
