"""Tests of the past values of keys."""

import testtools

from toucanspread.core.view import store_view, value_history

SIZE_BYTES = value_history.MIN_KEPT_BYTES


def make_change(revision, key="a"):
    return store_view.KeyChange(key, revision, b"%d" % revision * SIZE_BYTES)


def delete(revision, key="a"):
    return store_view.KeyChange(key, revision)


class PastValuesOfAViewTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = store_view.View()

    def apply(self, *changes, revision):
        self.view.apply(changes, revision, 0.0)

    def assert_found(self, expected_by_revision):
        """Check which revision of the key is found at revisions of the store."""
        found_by_revision = {}
        for revision in expected_by_revision:
            past = self.view.past_values.find("a", revision)
            found_by_revision[revision] = past.revision if past is not None else None
        self.assertEqual(expected_by_revision, found_by_revision)

    def test_a_value_is_not_found_before_it_was_written(self):
        self.apply(make_change(5), revision=5)
        self.apply(make_change(9), revision=9)
        self.assert_found({0: None, 4: None, 5: 5})

    def test_a_value_is_not_found_where_a_change_may_be_missing(self):
        """A peer's excerpt lacks values that have been replaced since."""
        self.apply(make_change(5), revision=6)
        self.apply(make_change(9), revision=9)
        self.assert_found({5: 5, 6: 5, 7: None, 8: None, 9: None})

    def test_each_of_several_past_values_is_found_at_its_revisions(self):
        for revision in (2, 4, 6):
            self.apply(make_change(revision), revision=revision + 1)
        self.assert_found({2: 2, 3: 2, 4: 4, 5: 4, 6: None})

    def test_several_changes_of_one_answer_are_found_at_their_own_revisions(self):
        self.apply(make_change(2), revision=2)
        self.apply(make_change(5), make_change(7), make_change(9), revision=9)
        self.assert_found({2: 2, 3: None, 5: 5, 6: None, 7: 7, 8: None})

    def test_a_deleted_value_is_not_found_after_its_deletion(self):
        self.apply(make_change(2), revision=3)
        self.apply(delete(5), revision=6)
        self.apply(make_change(8), revision=8)
        self.assert_found({3: 2, 5: None, 6: None, 8: None})

    def test_a_value_of_an_earlier_era_is_not_found(self):
        self.view.replace([make_change(3)], 3, 0.0, era=1)
        self.apply(make_change(5), revision=5)
        self.view.replace([make_change(4)], 4, 0.0, era=2)
        self.assert_found({3: None, 4: None, 5: None})

    def test_a_value_replaced_by_a_whole_copy_is_found(self):
        self.view.replace([make_change(3)], 4, 0.0, era=1)
        self.view.replace([make_change(7)], 8, 0.0, era=1)
        self.assert_found({3: 3, 4: 3, 5: None, 7: None})

    def test_past_values_take_a_bounded_number_of_bytes(self):
        for revision in range(1, 40):
            value = b"%02d" % revision * 250_000
            change = store_view.KeyChange("a", revision, value)
            self.apply(change, revision=revision)
        found = [self.view.past_values.find("a", r) for r in range(1, 39)]
        kept = [past for past in found if past is not None]
        kept_bytes = sum(len(past.value) for past in kept)
        self.assertLessEqual(kept_bytes, value_history.MAX_KEPT_BYTES)
        self.assertEqual([None] * (38 - len(kept)) + kept, found)
        self.assertGreater(len(kept), 5)

    def test_small_values_are_not_kept(self):
        for revision in (1, 2):
            self.apply(store_view.KeyChange("a", revision, b"x"), revision=revision)
        self.assert_found({1: None})
