"""Copies of the store agree, whatever way the changes came."""

import testtools

from toucanspread.core import data
from toucanspread.core.view import source_selection, store_view


def put(key, revision):
    return store_view.KeyChange(key, revision, b"%d" % revision)


class ViewTest(testtools.TestCase):
    def test_an_older_change_brings_nothing_back(self):
        view = store_view.View()
        view.apply([put("a", 1)], 1, 0.0)
        view.apply([store_view.KeyChange("a", 2)], 2, 0.0)
        self.assertEqual([], view.apply([put("a", 1)], 1, 0.0))
        self.assertIsNone(view.get("a"))

    def test_a_whole_copy_removes_what_is_gone(self):
        view = store_view.View()
        view.apply([put("a", 1), put("b", 2)], 2, 0.0)
        new = view.replace([put("b", 2), put("c", 5)], 6, 1.0)
        self.assertEqual(["a", "c"], [change.key for change in new])
        self.assertIsNone(view.get("a"))

    def test_an_older_whole_copy_is_left_aside(self):
        view = store_view.View()
        view.apply([put("a", 9)], 9, 0.0)
        self.assertEqual([], view.replace([], 4, 1.0))
        self.assertIsNotNone(view.get("a"))

    def test_a_follower_of_a_follower_ends_with_the_same_copy(self):
        first, second = store_view.View(), store_view.View()
        first.replace([put("a", 1), put("x/b", 2)], 2, 0.0)
        for step in range(3, 30):
            first.apply([put(f"k{step % 5}", step)], step, float(step))
            after = second.revision
            excerpt = first.make_excerpt(after, ("",), float(step))
            if excerpt.is_whole:
                second.replace(excerpt.changes, excerpt.revision, float(step))
            else:
                second.apply(excerpt.changes, excerpt.revision, float(step))
        self.assertEqual(first.items_under(""), second.items_under(""))

    def test_age_adds_up_over_followers(self):
        view = store_view.View()
        view.apply([put("a", 1)], 1, 10.0)
        self.assertAlmostEqual(2.5, view.make_excerpt(1, ("",), 12.5).age_s)

    def test_long_histories_give_way_to_whole_copies(self):
        view = store_view.View()
        view.apply([put("a", 1)], 1, 0.0)
        for revision in range(2, store_view.MAX_HISTORY_COUNT + 10):
            view.apply([put("b", revision)], revision, 0.0)
        self.assertTrue(view.make_excerpt(2, ("",), 0.0).is_whole)


class ChooserTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.names = [f"e{number}" for number in range(6)]

    def peers(self, without):
        return [
            source_selection.Peer(name, data.ZoneName("z"), data.Address(f"{name}:1"))
            for name in self.names
            if name != without
        ]

    def test_one_entry_of_a_zone_asks_the_store(self):
        asking = []
        for name in self.names:
            chooser = source_selection.SourceSelector(
                name, data.ZoneName("z"), can_lead=True
            )
            source = chooser.select_source(self.peers(name), [], 0.0)
            if source == source_selection.STORE:
                asking.append(name)
        self.assertEqual(1, len(asking))

    def test_whoever_the_store_turns_away_asks_the_others(self):
        chooser = source_selection.SourceSelector(
            "e0", data.ZoneName("z"), can_lead=True
        )
        asked = set()
        for _ in range(10):
            source = chooser.select_source(self.peers("e0"), [], 0.0)
            if source is None:
                break
            asked.add(source)
            chooser.record_failure(source, 0.0)
        self.assertIn(source_selection.STORE, asked)
        self.assertEqual(6, len(asked))

    def test_a_leader_that_is_turned_away_asks_other_zones_before_its_followers(self):
        far = source_selection.Peer("far", data.ZoneName("y"), data.Address("far:1"))
        for name in self.names:
            chooser = source_selection.SourceSelector(
                name, data.ZoneName("z"), can_lead=True
            )
            peers = [*self.peers(name), far]
            if chooser.select_source(peers, [], 0.0) != source_selection.STORE:
                continue
            chooser.record_failure(source_selection.STORE, 0.0)
            source = chooser.select_source(peers, [], 0.0)
            self.assertEqual("far:1", source.address)
            # One whose copy may be as old answers at once, with what it has.
            self.assertEqual(0.0, chooser.wait_s(source, 0.2))
            # One that lost the store at the same time is not waited for.
            chooser.record_answer(source, 0.3, 0.1)
            self.assertEqual(0.0, chooser.wait_s(source, 0.3))
            self.assertNotEqual(source, chooser.select_source(peers, [], 0.1))
            # One that has been in touch with it since then is.
            chooser.record_answer(source, 0.2, 0.5)
            self.assertEqual(source_selection.PEER_WAIT_S, chooser.wait_s(source, 0.2))

    def test_a_follower_asks_the_store_when_its_leader_has_lost_it(self):
        for name in self.names:
            chooser = source_selection.SourceSelector(
                name, data.ZoneName("z"), can_lead=True
            )
            usual = chooser.select_source(self.peers(name), [], 0.0)
            if usual == source_selection.STORE:
                continue
            chooser.record_answer(usual, 0.9, 0.5)
            self.assertEqual(usual, chooser.select_source(self.peers(name), [], 0.5))
            chooser.record_answer(usual, 1.2, 0.8)
            again = chooser.select_source(self.peers(name), [], 0.8)
            self.assertEqual(source_selection.STORE, again)

    def test_a_source_that_failed_is_tried_again(self):
        chooser = source_selection.SourceSelector(
            "a", data.ZoneName("z"), can_lead=True
        )
        chooser.record_failure(source_selection.STORE, 0.0)
        self.assertIsNone(chooser.select_source([], [], 0.5))
        later_s = source_selection.FAILED_SOURCE_BACKOFF_S
        self.assertEqual(source_selection.STORE, chooser.select_source([], [], later_s))
