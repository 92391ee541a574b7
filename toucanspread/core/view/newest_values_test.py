"""Tests which values stay when the store shows older ones."""

import testtools

from toucanspread.core.view import newest_values, store_view


def read_version(key, value):
    """Return the number that is the value of a key of the operator."""
    return int(value) if key.startswith("op/") else None


def make_write(key, revision, value):
    return store_view.KeyChange(key, revision, value)


class NewestValuesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.newest = newest_values.NewestValues(read_version)
        self.newest.choose("op/a", b"5")

    def test_an_older_value_does_not_replace_a_newer_one(self):
        self.assertEqual(b"5", self.newest.choose("op/a", b"4"))
        self.assertEqual(b"6", self.newest.choose("op/a", b"6"))

    def test_a_value_without_a_version_is_not_held_back(self):
        self.newest.choose("servers/e", b"9")
        self.assertEqual(b"8", self.newest.choose("servers/e", b"8"))

    def test_only_what_is_newer_than_the_requesters_values_is_listed(self):
        for versions, newer in (
            ({}, {"op/a": b"5"}),
            ({"op/a": 4}, {"op/a": b"5"}),
            ({"op/a": 5, "op/b": 1}, {}),
            ({"op/a": 6}, {}),
        ):
            self.assertEqual(newer, self.newest.list_newer(versions))


class ViewTest(testtools.TestCase):
    """A copy of a later era has older values, or lacks some."""

    def setUp(self):
        super().setUp()
        self.view = store_view.View(read_version)
        items = [make_write("op/a", 5, b"5"), make_write("op/b", 9, b"2")]
        self.view.replace(items, 9, 0.0, era=1)

    def get(self, key):
        item = self.view.get(key)
        return None if item is None else item.value

    def test_newer_values_stay_until_they_are_written_again(self):
        self.view.replace([make_write("op/a", 4, b"4")], 4, 1.0, era=2)
        self.assertEqual((b"5", b"2"), (self.get("op/a"), self.get("op/b")))
        written = [make_write("op/a", 5, b"6"), make_write("op/b", 6, b"2")]
        self.view.apply(written, 6, 2.0)
        self.assertEqual((b"6", b"2"), (self.get("op/a"), self.get("op/b")))

    def test_an_older_value_that_is_written_late_is_not_taken(self):
        self.view.apply([make_write("op/a", 10, b"3")], 10, 1.0)
        self.assertEqual(b"5", self.get("op/a"))

    def test_a_follower_of_an_earlier_era_gets_the_newer_values(self):
        self.view.replace([make_write("op/a", 4, b"4")], 4, 1.0, era=2)
        excerpt = self.view.make_excerpt(9, ("op/",), 1.0, era=1)
        values = {change.key: change.value for change in excerpt.changes}
        self.assertEqual({"op/a": b"5", "op/b": b"2"}, values)

    def test_a_key_that_is_deleted_in_the_same_era_is_forgotten(self):
        self.view.replace([make_write("op/a", 5, b"5")], 10, 1.0, era=1)
        self.view.apply([store_view.KeyChange("op/a", 11)], 11, 2.0)
        self.view.replace([], 4, 3.0, era=2)
        self.assertEqual((None, None), (self.get("op/a"), self.get("op/b")))

    def test_what_peers_know_newer_is_part_of_the_first_copy(self):
        view = store_view.View(read_version)
        view.learn([make_write("op/a", 9, b"5"), make_write("op/b", 9, b"2")])
        changes = view.replace([make_write("op/a", 4, b"4")], 4, 1.0, era=2)
        values = {change.key: change.value for change in changes}
        self.assertEqual({"op/a": b"5", "op/b": b"2"}, values)
