"""Tests of the differences between values."""

import random
import struct
import tracemalloc

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core.view import value_delta

ROW_COUNT = 500


def make_rows(seed=1):
    source = random.Random(seed)
    return [
        b'{"name":"%s","priority":1},' % source.randbytes(40).hex().encode()
        for _ in range(ROW_COUNT)
    ]


def make_edits(*edits):
    return b"".join(struct.pack("<III", *edit) for edit in edits)


@st.composite
def draw_values(draw):
    """Draw a value, and one made of parts of it and of other bytes."""
    base = draw(st.binary(min_size=200, max_size=400)) * draw(st.integers(1, 20))
    parts = []
    for _ in range(draw(st.integers(0, 5))):
        start = draw(st.integers(0, len(base)))
        parts += [base[start:], draw(st.binary(max_size=20))]
    return base, b"".join(parts)


class ValueDeltaTest(testtools.TestCase):
    def assert_small_and_exact(self, rows, changed_rows):
        base, value = b"".join(rows), b"".join(changed_rows)
        delta = value_delta.make_delta(base, value)
        self.assertIsNotNone(delta)
        self.assertLess(delta.own_bytes, len(value) / 16)
        self.assertEqual(value, value_delta.apply_delta(base, delta))

    @given(draw_values())
    def test_the_value_is_exact_for_values_that_have_parts_in_common(self, values):
        base, value = values
        delta = value_delta.make_delta(base, value)
        if delta is not None:
            self.assertEqual(value, value_delta.apply_delta(base, delta))

    @given(st.binary(max_size=500), st.binary(max_size=500))
    def test_the_value_is_exact_for_arbitrary_values(self, base, value):
        delta = value_delta.make_delta(base, value)
        if delta is not None:
            self.assertEqual(value, value_delta.apply_delta(base, delta))

    def test_an_edit_at_each_place_is_exact(self):
        base = b"".join(make_rows()[:20])
        for place in range(0, len(base), 7):
            for added in (b"", b"x", b"added" * 5):
                for removed_bytes in (0, 1, 40):
                    end = place + removed_bytes
                    value = base[:place] + added + base[end:]
                    delta = value_delta.make_delta(base, value)
                    self.assertIsNotNone(delta)
                    self.assertEqual(value, value_delta.apply_delta(base, delta))

    def test_changed_rows_are_not_sent_with_all_others(self):
        rows = make_rows()
        changed = list(rows)
        for number in range(0, ROW_COUNT, 50):
            changed[number] = changed[number].replace(b"1}", b"22}")
        self.assert_small_and_exact(rows, changed)

    def test_added_and_removed_rows_are_not_sent_with_all_others(self):
        rows = make_rows()
        changed = rows[:90] + make_rows(2)[:5] + rows[92:300] + rows[340:] + rows[:1]
        self.assert_small_and_exact(rows, changed)

    def test_reordered_rows_are_not_sent_again(self):
        rows = make_rows()
        self.assert_small_and_exact(rows, rows[200:] + rows[:200])
        self.assert_small_and_exact(rows, rows[100:300] + rows[:100] + rows[300:])

    def test_repeated_blocks_do_not_lead_to_a_large_delta(self):
        rows = [bytes(100)] * ROW_COUNT
        self.assert_small_and_exact(rows, [*rows[:100], b"x", *rows[100:]])

    def test_another_value_is_not_sent_as_a_delta(self):
        base, value = b"".join(make_rows()), b"".join(make_rows(2))
        self.assertIsNone(value_delta.make_delta(base, value))
        self.assertIsNone(value_delta.make_delta(b"", value))

    def test_shuffled_rows_are_not_sent_as_a_delta_larger_than_its_share(self):
        rows = make_rows()
        changed = list(rows)
        random.Random(3).shuffle(changed)
        value = b"".join(changed)
        delta = value_delta.make_delta(b"".join(rows), value)
        if delta is not None:
            self.assertLessEqual(delta.own_bytes, len(value) / 16)

    def test_the_delta_of_another_base_is_an_error(self):
        rows = make_rows()
        base = b"".join(rows)
        delta = value_delta.make_delta(base, base + b"x")
        for other in (base[:-1] + b"y", base[1:] + b"z", base[:50], b""):
            self.assert_refused(other, delta)

    @given(draw_values(), st.binary(max_size=400), st.integers(0, 400))
    def test_the_value_is_exact_or_an_error_for_any_base(self, values, other, kept):
        base, value = values
        delta = value_delta.make_delta(base, value)
        if delta is None:
            return
        for wrong_base in (other, base[:kept] + other, base + other):
            try:
                made = value_delta.apply_delta(wrong_base, delta)
            except value_delta.DeltaError:
                continue
            self.assertEqual(value, made)

    @given(st.binary(max_size=60), st.binary(max_size=60), st.integers(-5, 1 << 40))
    def test_arbitrary_edits_are_an_error(self, edits, added, size_bytes):
        delta = value_delta.Delta(size_bytes, bytes(8), edits, added)
        self.assert_refused(b"base" * 20, delta)

    def test_a_delta_with_one_changed_property_is_an_error(self):
        base = b"".join(make_rows())
        delta = value_delta.make_delta(base, base[:900] + b"x" + base[1_000:])
        changes = [
            {"size_bytes": delta.size_bytes + 1},
            {"digest": delta.digest[:-1]},
            {"digest": b""},
            {"edits": delta.edits[:-1]},
            {"edits": delta.edits[:-12]},
            {"edits": delta.edits + make_edits((0, 0, 1))},
            {"added": b"y"},
            {"added": b""},
        ]
        for change in changes:
            self.assert_refused(base, msgspec.structs.replace(delta, **change))

    def test_a_delta_makes_no_more_bytes_than_it_names(self):
        base = bytes(1_000_000)
        edits = make_edits(*[(0, 0, len(base))] * 1_000)
        delta = value_delta.Delta(2_000_000, bytes(8), edits, b"")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assert_refused(base, delta)
        self.assertLess(tracemalloc.get_traced_memory()[1], 5_000_000)

    def test_edits_without_effect_are_not_followed_without_end(self):
        edits = make_edits((0, 0, 0)) * (value_delta.MAX_EDIT_COUNT + 1)
        self.assert_refused(b"", value_delta.Delta(0, bytes(8), edits, b""))

    def assert_refused(self, base, delta):
        self.assertRaises(value_delta.DeltaError, value_delta.apply_delta, base, delta)
