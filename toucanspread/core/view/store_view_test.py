"""Tests that copies of the store agree, and which source a process selects."""

import testtools

from toucanspread.core import data, rendezvous
from toucanspread.core.view import source_selection, store_view


def make_write(key, revision):
    return store_view.KeyChange(key, revision, b"%d" % revision)


class ViewTest(testtools.TestCase):
    def test_an_older_change_does_not_restore_a_deleted_key(self):
        view = store_view.View()
        view.apply([make_write("a", 1)], 1, 0.0)
        view.apply([store_view.KeyChange("a", 2)], 2, 0.0)
        self.assertEqual([], view.apply([make_write("a", 1)], 1, 0.0))
        self.assertIsNone(view.get("a"))

    def test_a_deletion_reaches_a_follower_over_one_that_never_had_the_key(self):
        leader, first, second = (store_view.View() for _ in range(3))
        for view in (leader, first, second):
            view.apply([make_write("a", 1)], 1, 0.0)
        leader.apply([make_write("k", 2)], 2, 0.0)
        second.apply([make_write("k", 2)], 2, 0.0)
        leader.apply([store_view.KeyChange("k", 3)], 3, 0.0)
        for source, follower in ((leader, first), (first, second)):
            excerpt = source.make_excerpt(follower.revision, ("",), 0.0)
            follower.apply(excerpt.changes, excerpt.revision, 0.0)
        self.assertIsNone(second.get("k"))

    def test_a_complete_copy_removes_deleted_keys(self):
        view = store_view.View()
        view.apply([make_write("a", 1), make_write("b", 2)], 2, 0.0)
        new = view.replace([make_write("b", 2), make_write("c", 5)], 6, 1.0)
        self.assertEqual(["a", "c"], [change.key for change in new])
        self.assertIsNone(view.get("a"))

    def test_a_follower_gets_an_item_that_changed_while_all_items_were_read(self):
        leader, follower = store_view.View(), store_view.View()
        for view in (leader, follower):
            view.apply([make_write("a", 1), make_write("b", 2)], 2, 0.0)
        leader.replace([make_write("a", 1), make_write("b", 3)], 2, 1.0)
        leader.apply([make_write("b", 3)], 3, 2.0)
        excerpt = leader.make_excerpt(follower.revision, ("",), 2.0)
        follower.apply(excerpt.changes, excerpt.revision, 2.0)
        self.assertEqual(leader.items_under(""), follower.items_under(""))

    def test_an_older_complete_copy_is_ignored(self):
        view = store_view.View()
        view.apply([make_write("a", 9)], 9, 0.0)
        self.assertEqual([], view.replace([], 4, 1.0))
        self.assertIsNotNone(view.get("a"))

    def test_a_follower_of_a_follower_ends_with_the_same_copy(self):
        first, second = store_view.View(), store_view.View()
        first.replace([make_write("a", 1), make_write("x/b", 2)], 2, 0.0)
        for step in range(3, 30):
            first.apply([make_write(f"k{step % 5}", step)], step, float(step))
            after = second.revision
            excerpt = first.make_excerpt(after, ("",), float(step))
            if excerpt.is_whole:
                second.replace(excerpt.changes, excerpt.revision, float(step))
            else:
                second.apply(excerpt.changes, excerpt.revision, float(step))
        self.assertEqual(first.items_under(""), second.items_under(""))

    def test_the_age_of_an_excerpt_includes_the_time_it_was_held(self):
        view = store_view.View()
        view.apply([make_write("a", 1)], 1, 10.0)
        self.assertAlmostEqual(2.5, view.make_excerpt(1, ("",), 12.5).age_s)

    def test_an_excerpt_is_a_complete_copy_when_the_history_is_too_short(self):
        view = store_view.View()
        view.apply([make_write("a", 1)], 1, 0.0)
        for revision in range(2, store_view.MAX_HISTORY_COUNT + 10):
            view.apply([make_write(f"b{revision}", revision)], revision, 0.0)
        self.assertTrue(view.make_excerpt(2, ("",), 0.0).is_whole)

    def test_an_excerpt_does_not_contain_values_that_were_replaced_since(self):
        view = store_view.View()
        view.apply([make_write("a", 1), make_write("b", 2)], 2, 0.0)
        view.apply([make_write("a", 3)], 3, 0.0)
        view.apply([make_write("a", 4), store_view.KeyChange("b", 5)], 5, 0.0)
        changes = view.make_excerpt(1, ("",), 0.0).changes
        self.assertEqual([("a", 4), ("b", 5)], [(c.key, c.revision) for c in changes])

    def test_frequent_changes_of_a_large_value_leave_the_history_of_other_keys(self):
        view = store_view.View()
        view.apply([make_write("a", 1), make_write("b", 2)], 2, 0.0)
        value = bytes(store_view.MAX_HISTORY_BYTES // 4)
        for revision in range(3, 13):
            view.apply([store_view.KeyChange("c", revision, value)], revision, 0.0)
        excerpt = view.make_excerpt(1, ("",), 0.0)
        self.assertFalse(excerpt.is_whole)
        self.assertEqual(["b", "c"], [change.key for change in excerpt.changes])


class EraTest(testtools.TestCase):
    """The store returns from an older copy and gives out revisions again."""

    def setUp(self):
        super().setUp()
        self.view = store_view.View()
        items = [make_write("a", 5), make_write("b", 8), make_write("c", 9)]
        self.view.replace(items, 9, 0.0, era=1)

    def test_a_copy_of_a_later_era_replaces_one_with_a_higher_revision(self):
        items = [make_write("a", 5), store_view.KeyChange("c", 6, b"other")]
        changes = self.view.replace(items, 6, 1.0, era=2)
        self.assertEqual([("b", None), ("c", b"other")], _list_values(changes))
        self.assertEqual((2, 6), self.view.position)
        applied = self.view.apply([make_write("b", 7)], 7, 2.0)
        self.assertEqual(["b"], [change.key for change in applied])

    def test_a_copy_of_an_earlier_era_is_ignored(self):
        self.view.replace([make_write("a", 5)], 6, 1.0, era=2)
        self.assertEqual([], self.view.replace([make_write("d", 9)], 99, 2.0, era=1))
        self.assertIsNone(self.view.get("d"))

    def test_a_copy_without_an_era_is_compared_by_its_revision(self):
        self.assertEqual([], self.view.replace([], 8, 1.0))
        self.assertEqual(3, len(self.view.replace([], 10, 1.0)))

    def test_a_follower_of_an_earlier_era_gets_all_items(self):
        self.view.replace([make_write("a", 5)], 6, 1.0, era=2)
        for after, era, is_whole in ((6, 2, False), (6, 1, True), (9, 1, True)):
            excerpt = self.view.make_excerpt(after, ("",), 1.0, era)
            self.assertEqual(is_whole, excerpt.is_whole)
            self.assertEqual((2, 6), excerpt.position)

    def test_a_key_that_cannot_be_read_in_a_later_era_keeps_its_item(self):
        kept = frozenset({"c"})
        self.view.replace([make_write("a", 5)], 6, 1.0, kept, era=2)
        self.assertEqual(b"9", self.view.get("c").value)
        changes = self.view.apply([make_write("c", 7)], 7, 2.0)
        self.assertEqual(["c"], [change.key for change in changes])


def _list_values(changes):
    return sorted((change.key, change.value) for change in changes)


class SourceSelectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.names = [f"e{number}" for number in range(6)]

    def peers(self, without):
        return [
            source_selection.Peer(name, data.ZoneName("z"), data.Address(f"{name}:1"))
            for name in self.names
            if name != without
        ]

    def test_one_entry_of_a_zone_follows_the_store(self):
        asking = []
        for name in self.names:
            selector = source_selection.SourceSelector(
                name, data.ZoneName("z"), can_lead=True
            )
            source = selector.select_source(self.peers(name), [], 0.0)
            if source == source_selection.STORE:
                asking.append(name)
        self.assertEqual(1, len(asking))

    def test_a_process_that_the_store_refuses_asks_the_other_entries(self):
        selector = source_selection.SourceSelector(
            "e0", data.ZoneName("z"), can_lead=True
        )
        asked = set()
        for _ in range(10):
            source = selector.select_source(self.peers("e0"), [], 0.0)
            if source is None:
                break
            asked.add(source)
            selector.record_failure(source, 0.0)
        self.assertIn(source_selection.STORE, asked)
        self.assertEqual(6, len(asked))

    def test_a_leader_refused_by_the_store_asks_other_zones_before_followers(self):
        remote = source_selection.Peer("far", data.ZoneName("y"), data.Address("far:1"))
        for name in self.names:
            selector = source_selection.SourceSelector(
                name, data.ZoneName("z"), can_lead=True
            )
            peers = [*self.peers(name), remote]
            if selector.select_source(peers, [], 0.0) != source_selection.STORE:
                continue
            selector.record_failure(source_selection.STORE, 0.0)
            source = selector.select_source(peers, [], 0.0)
            self.assertEqual("far:1", source.address)
            # A source whose copy may be as old is asked for an immediate answer.
            self.assertEqual(0.0, selector.wait_s(source, 0.2))
            # A source that lost the store at the same time is not waited for.
            selector.record_answer(source, 0.3, 0.1)
            self.assertEqual(0.0, selector.wait_s(source, 0.3))
            self.assertNotEqual(source, selector.select_source(peers, [], 0.1))
            # A source that has had contact with the store since then is waited for.
            selector.record_answer(source, 0.2, 0.5)
            self.assertEqual(source_selection.PEER_WAIT_S, selector.wait_s(source, 0.2))

    def rank_entries(self):
        """Return the entries in the order in which they lead their zone."""
        return rendezvous.rank("z", self.names)

    def make_selector(self, name):
        return source_selection.SourceSelector(name, data.ZoneName("z"), can_lead=True)

    def test_the_first_deputy_asks_the_store_when_the_leader_has_an_old_copy(self):
        leader, deputy = self.rank_entries()[:2]
        selector = self.make_selector(deputy)
        primary = selector.select_source(self.peers(deputy), [], 0.0)
        self.assertEqual(f"{leader}:1", primary.address)
        selector.record_answer(primary, 0.9, 0.5)
        self.assertEqual(primary, selector.select_source(self.peers(deputy), [], 0.5))
        selector.record_answer(primary, 1.2, 0.8)
        source = selector.select_source(self.peers(deputy), [], 0.8)
        self.assertEqual(source_selection.STORE, source)

    def test_a_zone_does_not_ask_the_store_as_a_whole_when_its_leader_fails(self):
        ranked = self.rank_entries()
        for rank, name in enumerate(ranked[2:], start=2):
            selector = self.make_selector(name)
            primary = selector.select_source(self.peers(name), [], 0.0)
            selector.record_failure(primary, 0.8)
            deputies = ranked[1:rank][: source_selection.DEPUTY_COUNT]
            for deputy in deputies:
                source = selector.select_source(self.peers(name), [], 0.8)
                self.assertEqual(f"{deputy}:1", source.address)
                # Deputies have not noticed the failure yet.
                selector.record_answer(source, 1.2, 0.8)
            self.assertIsNone(selector.select_source(self.peers(name), [], 0.8))
            source = selector.select_source(self.peers(name), [], 1.1)
            self.assertEqual(f"{deputies[0]}:1", source.address)
            selector.record_answer(source, 0.1, 1.1)
            self.assertEqual(source_selection.PEER_WAIT_S, selector.wait_s(source, 0.1))

    def test_a_follower_asks_the_store_when_all_deputies_fail(self):
        name = self.rank_entries()[-1]
        selector = self.make_selector(name)
        for _ in range(1 + source_selection.DEPUTY_COUNT):
            source = selector.select_source(self.peers(name), [], 0.8)
            self.assertNotEqual(source_selection.STORE, source)
            selector.record_failure(source, 0.8)
        source = selector.select_source(self.peers(name), [], 0.8)
        self.assertEqual(source_selection.STORE, source)

    def test_a_follower_whose_deputies_have_no_newer_copy_asks_others_first(self):
        name = self.rank_entries()[-1]
        selector = self.make_selector(name)
        remote = source_selection.Peer("far", data.ZoneName("y"), data.Address("far:1"))
        peers = [*self.peers(name), remote]

        def list_responding(now_s):
            """Return the sources that are asked if all of them have an old copy."""
            sources = []
            source = selector.select_source(peers, [], now_s)
            while source is not None and source not in sources:
                sources.append(source)
                selector.record_answer(source, 1.2, now_s)
                source = selector.select_source(peers, [], now_s)
            return sources

        far = source_selection.Source(source_selection.SourceKind.PEER, "far:1")
        self.assertNotIn(far, list_responding(0.8))
        sources = list_responding(0.8 + source_selection.DEPUTY_WAIT_S)
        self.assertIn(far, sources)
        self.assertNotIn(source_selection.STORE, sources)
        sources = list_responding(0.8 + source_selection.SLOW_STORE_WAIT_S)
        self.assertIn(source_selection.STORE, sources)

    def test_the_store_has_its_turn_among_sources_that_do_not_respond(self):
        name = self.rank_entries()[-1]
        selector = self.make_selector(name)
        deputy = self.rank_entries()[1]
        now_s = 0.0
        asked = []
        while now_s < 20.0:
            source = selector.select_source(self.peers(name), [], now_s)
            asked.append(source)
            if source is None:
                now_s += source_selection.RETRY_DELAY_S
            elif now_s < 2.0 and source.address == f"{deputy}:1":
                now_s += 0.01
                selector.record_answer(source, 0.001, now_s)
            elif source == source_selection.STORE:
                now_s += source_selection.STORE_WAIT_S
                selector.record_answer(source, 0.01, now_s)
            else:
                now_s += source_selection.ANSWER_GRACE_S
                selector.record_failure(source, now_s)
        self.assertIn(source_selection.STORE, asked)
        store_share = asked[-20:].count(source_selection.STORE) / 20
        self.assertGreaterEqual(store_share, 0.5)

    def test_a_few_processes_of_a_large_zone_at_a_time_begin_to_ask_the_store(self):
        self.names = [f"e{number}" for number in range(26)]
        times_s = (0.8, 1.3, 1.8, 2.3)
        asked_s = []
        for name in self.rank_entries()[1:]:
            selector = self.make_selector(name)
            for now_s in times_s:
                if source_selection.STORE in self.list_sources(selector, name, now_s):
                    asked_s.append(now_s)
                    break
        asking = [len([at_s for at_s in asked_s if at_s <= now_s]) for now_s in times_s]
        group = source_selection.STORE_GROUP_SIZE
        self.assertEqual([group, 2 * group, 3 * group, 25], asking)

    def list_sources(self, selector, name, now_s, but=None):
        """Return the sources that a process asks one after the other, if all fail.

        :param but: a source that answers with an old copy.
        """
        sources = []
        source = selector.select_source(self.peers(name), [], now_s)
        while source is not None and source not in sources:
            sources.append(source)
            if source == but:
                selector.record_answer(source, 9.0, now_s, arriving_s=now_s - 0.1)
            else:
                selector.record_failure(source, now_s)
            source = selector.select_source(self.peers(name), [], now_s)
        return sources

    def test_a_dead_deputy_does_not_delay_the_store_beyond_its_time(self):
        name = self.rank_entries()[-1]
        selector = self.make_selector(name)
        primary = selector.select_source(self.peers(name), [], 0.0)
        selector.record_failure(primary, 0.8)
        deputy = selector.select_source(self.peers(name), [], 0.8)
        now_s = 0.8 + source_selection.DEPUTY_WAIT_S
        selector.record_failure(deputy, now_s)
        source = selector.select_source(self.peers(name), [], now_s)
        self.assertEqual(source_selection.STORE, source)

    def test_a_source_with_an_old_copy_is_not_waited_for(self):
        name = self.rank_entries()[-1]
        selector = self.make_selector(name)
        primary = selector.select_source(self.peers(name), [], 0.0)
        self.assertEqual(source_selection.PEER_WAIT_S, selector.wait_s(primary, 0.2))
        selector.record_answer(primary, 1.2, 0.8)
        self.assertEqual(0.0, selector.wait_s(primary, 1.2))

    def test_a_leader_at_which_an_answer_of_the_store_arrives_is_waited_for(self):
        leader, name = self.rank_entries()[:2]
        selector = self.make_selector(name)
        primary = selector.select_source(self.peers(name), [], 0.0)
        selector.record_answer(primary, 1.2, 0.8, arriving_s=0.7)
        source = selector.select_source(self.peers(name), [], 0.8)
        self.assertEqual(f"{leader}:1", source.address)
        selector.record_answer(primary, 2.0, 1.6, arriving_s=0.7)
        source = selector.select_source(self.peers(name), [], 1.6)
        self.assertNotEqual(source_selection.STORE, source)
        later_s = 0.71 + source_selection.MAX_DIRECT_AGE_S
        selector.record_answer(primary, 2.2, later_s, arriving_s=0.7)
        source = selector.select_source(self.peers(name), [], later_s)
        self.assertEqual(source_selection.STORE, source)

    def test_processes_do_not_ask_the_store_while_its_answer_arrives_at_a_peer(self):
        self.names = [f"e{number}" for number in range(26)]
        ranked = self.rank_entries()
        receiving = source_selection.Source(
            source_selection.SourceKind.PEER, f"{ranked[12]}:1"
        )
        for name in [*ranked[1:12], *ranked[13:]]:
            selector = self.make_selector(name)
            primary = selector.select_source(self.peers(name), [], 0.0)
            selector.record_answer(primary, 4.0, 0.0)
            selector.record_answer(receiving, 9.0, 5.0, arriving_s=4.9)
            sources = self.list_sources(selector, name, 5.1, but=receiving)
            self.assertNotIn(source_selection.STORE, sources)
            selector.record_answer(receiving, 9.1, 5.1)
            sources = self.list_sources(selector, name, 5.1)
            self.assertIn(source_selection.STORE, sources)

    def test_the_leader_asks_the_store_while_its_answer_arrives_at_a_peer(self):
        leader, name = self.rank_entries()[:2]
        selector = self.make_selector(leader)
        peer = source_selection.Source(source_selection.SourceKind.PEER, f"{name}:1")
        selector.record_answer(peer, 9.0, 5.0, arriving_s=4.9)
        source = selector.select_source(self.peers(leader), [], 5.0)
        self.assertEqual(source_selection.STORE, source)

    def test_a_peer_that_fails_while_it_receives_does_not_delay_the_store(self):
        name = self.rank_entries()[1]
        selector = self.make_selector(name)
        primary = selector.select_source(self.peers(name), [], 0.0)
        selector.record_answer(primary, 1.2, 0.8, arriving_s=0.7)
        selector.record_failure(primary, 0.9)
        source = selector.select_source(self.peers(name), [], 0.9)
        self.assertEqual(source_selection.STORE, source)

    def test_a_source_that_failed_is_retried_after_its_backoff(self):
        selector = source_selection.SourceSelector(
            "a", data.ZoneName("z"), can_lead=True
        )
        selector.record_failure(source_selection.STORE, 0.0)
        self.assertIsNone(selector.select_source([], [], 0.5))
        later_s = source_selection.FAILED_SOURCE_BACKOFF_S
        self.assertEqual(
            source_selection.STORE, selector.select_source([], [], later_s)
        )

    def test_a_process_that_asks_for_newer_values_asks_another_zone_too(self):
        peers = [
            source_selection.Peer(name, data.ZoneName(zone), data.Address(f"{name}:1"))
            for name, zone in (("a", "z"), ("b", "z"), ("c", "z"), ("d", "y"))
        ]
        selector = self.make_selector("e")
        witnesses = selector.list_witnesses(peers, ["seed:1"], 3)
        self.assertEqual(3, len(witnesses))
        self.assertIn("d:1", witnesses)
        self.assertEqual(
            ["a:1", "seed:1"], selector.list_witnesses(peers[:1], ["seed:1"], 3)
        )
        self.assertEqual(["seed:1"], selector.list_witnesses([], ["seed:1"], 3))
