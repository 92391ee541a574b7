"""Tests of rendezvous hashing."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from toucanspread.core import rendezvous

NAMES = st.lists(st.text(min_size=1, max_size=8), unique=True, min_size=1, max_size=20)


class RendezvousTest(testtools.TestCase):
    def test_order_is_the_same_in_every_process(self):
        self.assertEqual(["a", "c", "b"], rendezvous.rank("key", ["a", "b", "c"]))

    @given(st.text(), NAMES)
    def test_removal_keeps_the_order_of_other_candidates(self, key, names):
        ranked = rendezvous.rank(key, names)
        self.assertEqual(ranked[1:], rendezvous.rank(key, set(names) - {ranked[0]}))

    def test_keys_are_spread_evenly_over_candidates(self):
        names = [f"entry-{number}" for number in range(10)]
        firsts = [rendezvous.rank(f"key-{key}", names)[0] for key in range(10_000)]
        for name in names:
            self.assertTrue(850 < firsts.count(name) < 1150, firsts.count(name))
