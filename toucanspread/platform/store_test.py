"""Tests how answers of the platform's store are read."""

import asyncio
import json

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops.copies import prefix_store, view_sync
from toucanspread.ops.http import answer_match, http1, http1_pool
from toucanspread.platform import store

GOOD_VALUE = "Z29vZA=="
BAD_VALUES = ("abc", "Z29v\u00e9ZA=", "Z29v!ZA==", 7, ["Z29vZA=="], {"a": 1}, True)


class Pool(http1_pool.ConnectionPool):
    """Returns prepared answers of the store, in their order.

    :param eras: values of the header that names the era, one for each answer.
    """

    def __init__(self, answers, eras=()):
        super().__init__(task.Clock())
        self._answers = list(answers)
        self._eras = list(eras)

    async def call(
        self,
        address,
        head,
        body=b"",
        timeout_s=1.0,
        stall_timeout_s=None,
        max_body_bytes=0,
        has_own_connection=False,
        on_arriving=None,
        matcher=None,
    ):
        answer = self._answers.pop(0)
        headers = []
        if self._eras:
            headers.append(http1.Header(b"Store-Era", self._eras.pop(0)))
        status = answer if isinstance(answer, int) else 200
        body = json.dumps(answer).encode()
        return http1_pool.Reply(status, http1.AnswerHead(status, headers), body)


def make_page(revision, *rows):
    """Return a page of (key, value) pairs that were all written at a revision."""
    items = [{"key": k, "value": v, "revision": revision} for k, v in rows]
    return {"items": items, "has_more": False, "store_revision": revision}


def make_events(revision, *rows):
    page = make_page(revision, *rows)
    return {"events": page["items"], "store_revision": revision}


def make_synchronizer(view, pool):
    """Return a synchronizer of a view with the store."""
    return view_sync.ViewSynchronizer(
        view,
        store.PlatformStore(pool, "s:1"),
        pool,
        source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
        ("op/",),
        list,
        list,
        lambda changes: None,
    )


class OutOfBoundsTest(testtools.TestCase):
    def test_an_answer_with_a_revision_out_of_bounds_is_a_failed_call(self):
        for revision in (-1, 2**63, 10**309):
            answers = [make_page(revision, ("op/a", GOOD_VALUE))]
            platform_store = store.PlatformStore(Pool(answers), "s:1")
            self.assertRaises(
                prefix_store.StoreError, asyncio.run, platform_store.read_all("op/")
            )


class UnreadableValueTest(testtools.TestCase):
    def synchronize(self, *answers):
        """Return the copy of a process after some answers of the store."""
        view = store_view.View()
        synchronizer = make_synchronizer(view, Pool(answers))
        for _ in answers:
            asyncio.run(synchronizer.sync_once())
        return view

    def test_a_bad_value_in_a_watch_costs_only_its_key(self):
        for value in BAD_VALUES:
            view = self.synchronize(
                make_page(1, ("op/a", GOOD_VALUE), ("op/b", GOOD_VALUE)),
                make_events(2, ("op/a", value), ("op/b", "bmV3")),
            )
            self.assertEqual(b"good", view.get("op/a").value, value)
            self.assertEqual(b"new", view.get("op/b").value, value)
            self.assertEqual(2, view.revision, value)

    def test_a_bad_value_among_all_items_keeps_the_last_good_value_of_its_key(self):
        for value in BAD_VALUES:
            page = make_page(1, ("op/a", GOOD_VALUE), ("op/b", GOOD_VALUE))
            pool = Pool([make_page(2, ("op/a", value), ("op/b", "bmV3"))])
            answer = asyncio.run(store.PlatformStore(pool, "s:1").read_all("op/"))
            view = self.synchronize(page)
            view.replace(answer.changes, answer.revision, 0.0, answer.unreadable_keys)
            self.assertEqual(b"good", view.get("op/a").value, value)
            self.assertEqual(b"new", view.get("op/b").value, value)


class WatchMatchTest(testtools.TestCase):
    def match(self, answer, headers=(), took_s=0.0):
        clock = task.Clock()
        matcher = store._WatchMatcher(5, 2, 1.0, clock.seconds)
        clock.advance(took_s)
        head = http1.AnswerHead(200, list(headers))
        return matcher.match(head, json.dumps(answer).encode())

    def test_changes_that_are_known_belong_to_an_earlier_watch(self):
        matches = [
            self.match(make_events(revision, ("op/a", GOOD_VALUE)))
            for revision in (5, 6)
        ]
        self.assertEqual([answer_match.Match.OTHER, answer_match.Match.OWN], matches)

    def test_another_era_is_learnt_whatever_its_revisions(self):
        header = http1.Header(b"Store-Era", b"3")
        match = self.match(make_events(4, ("op/a", GOOD_VALUE)), [header])
        self.assertIs(answer_match.Match.OWN, match)

    def test_the_end_of_a_watch_that_comes_at_once_may_be_that_of_another(self):
        matches = [self.match(make_events(5), took_s=took_s) for took_s in (0.01, 1.0)]
        self.assertEqual([answer_match.Match.UNNAMED, answer_match.Match.OWN], matches)


class EraTest(testtools.TestCase):
    def make_store(self, eras, *answers):
        return store.PlatformStore(Pool(answers, eras), "s:1")

    def test_answers_name_the_era_of_their_revision(self):
        page = make_page(7, ("op/a", GOOD_VALUE))
        client = self.make_store([b"3"], page)
        self.assertEqual(3, asyncio.run(client.read_all("op/")).era)

    def test_a_refusal_names_the_era_as_well(self):
        client = self.make_store([b"3"], 503)
        self.assertRaises(prefix_store.StoreError, asyncio.run, client.renew_lease(1))
        self.assertEqual(3, client.era)

    def test_a_late_answer_of_an_earlier_era_is_rejected(self):
        page = make_page(7, ("op/a", GOOD_VALUE))
        client = self.make_store([b"3", b"2"], page, page)
        asyncio.run(client.read_all("op/"))
        self.assertRaises(prefix_store.StoreError, asyncio.run, client.read_all("op/"))

    def test_pages_of_two_eras_make_no_copy(self):
        page = make_page(7, ("op/a", GOOD_VALUE))
        client = self.make_store([b"2", b"3"], {**page, "has_more": True}, page)
        self.assertRaises(prefix_store.StoreError, asyncio.run, client.read_all("op/"))

    def test_an_era_that_is_no_number_counts_as_unknown(self):
        page = make_page(7, ("op/a", GOOD_VALUE))
        for value in (b"", b"x", b"-1", b"\xb2", b"9" * 5_000):
            client = self.make_store([value], page)
            self.assertEqual(0, asyncio.run(client.read_all("op/")).era, value)


class EndlessPool(Pool):
    """Returns pages of a store that always says that it has more.

    :ivar call_count: number of pages that were read.
    """

    def __init__(self, make_row):
        super().__init__(())
        self.call_count = 0
        self._make_row = make_row

    async def call(self, *arguments, **options):
        if self.call_count > 1_000:
            raise AssertionError("pages are read without end")
        self._answers = [make_page(1, *self._make_row(self.call_count))]
        self._answers[0]["has_more"] = True
        self.call_count += 1
        return await super().call(*arguments, **options)


class EndlessReadTest(testtools.TestCase):
    def check(self, make_row, error_type, max_call_count):
        pool = EndlessPool(make_row)
        client = store.PlatformStore(pool, "s:1")
        self.assertRaises(error_type, asyncio.run, client.read_all("op/"))
        self.assertLessEqual(pool.call_count, max_call_count)

    def test_a_page_that_is_repeated_ends_the_read(self):
        self.check(
            lambda number: [("op/a", GOOD_VALUE)], prefix_store.NoProgressError, 2
        )

    def test_pages_that_are_repeated_in_turn_end_the_read(self):
        self.check(
            lambda number: [(f"op/{number % 3}", GOOD_VALUE)],
            prefix_store.NoProgressError,
            4,
        )

    def test_an_empty_page_before_the_last_one_is_no_complete_read(self):
        self.check(lambda number: [], prefix_store.NoProgressError, 1)

    def test_pages_without_end_end_the_read(self):
        self.check(
            lambda number: [(f"op/{number:09}", GOOD_VALUE)],
            prefix_store.LargeAnswerError,
            store.MAX_PAGES,
        )

    def test_large_pages_without_end_end_the_read(self):
        value = "a" * 2_000_000
        self.check(
            lambda number: [(f"op/{number:09}", value)],
            prefix_store.LargeAnswerError,
            store.MAX_READ_BYTES // len(value) + 1,
        )

    def test_a_store_that_repeats_a_page_is_not_asked_in_a_tight_loop(self):
        pool = EndlessPool(lambda number: [("op/a", GOOD_VALUE)])
        synchronizer = make_synchronizer(store_view.View(), pool)
        for _ in range(4):
            asyncio.run(synchronizer.sync_once())
        self.assertEqual(2, pool.call_count)

    def test_a_large_store_is_read_in_many_pages(self):
        count = store.MAX_PAGES
        pages = [make_page(1, (f"op/{n:09}", GOOD_VALUE)) for n in range(count)]
        for page in pages[:-1]:
            page["has_more"] = True
        client = store.PlatformStore(Pool(pages), "s:1")
        self.assertEqual(count, len(asyncio.run(client.read_all("op/")).changes))
