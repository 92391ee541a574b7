"""Tests how excerpts of the copy of the store are served."""

import testtools
from twisted.internet import task

from toucanspread.core.view import store_view
from toucanspread.ops.copies import excerpt_client, excerpt_codec, excerpt_server


class Exchange:
    """A request of a peer with the response to it."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.on_disconnected = None

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.body = body


class DeltaTest(testtools.TestCase):
    """Followers of the present and of an earlier version have an older copy."""

    VALUE = bytes(range(256)) * 40

    def setUp(self):
        super().setUp()
        self.view = store_view.View()
        self.server = excerpt_server.ExcerptServer(self.view, task.Clock())
        for revision in (4, 5):
            self.write(revision)

    def write(self, revision):
        value = b"%d" % revision + self.VALUE
        change = store_view.KeyChange("op/config", revision, value)
        self.view.apply([change], revision, 0.0)

    def fetch(self, after, accepts_deltas):
        exchange = Exchange()
        request = excerpt_client.ExcerptRequest(
            after, ("op/",), accepts_deltas=accepts_deltas
        )
        self.server.on_request(exchange, request, can_decompress=True)
        return exchange

    def test_a_follower_that_accepts_deltas_does_not_get_the_value(self):
        excerpt = excerpt_codec.decode_excerpt(self.fetch(4, True).body)
        self.assertEqual((), excerpt.changes)
        self.assertEqual([4], [change.base_revision for change in excerpt.deltas])

    def test_a_waiting_follower_gets_a_delta_of_the_copy_it_named(self):
        exchange = Exchange()
        request = excerpt_client.ExcerptRequest(5, ("op/",), 1.0, accepts_deltas=True)
        self.server.on_request(exchange, request)
        for revision in (6, 7):
            self.write(revision)
        self.server.notify_waiters()
        excerpt = excerpt_codec.decode_excerpt(exchange.body)
        self.assertEqual([5], [change.base_revision for change in excerpt.deltas])

    def test_a_follower_of_an_earlier_version_gets_the_value_in_the_known_form(self):
        body = self.fetch(4, False).body
        self.assertNotIn(b"deltas", body)
        excerpt = excerpt_codec.decode_excerpt(body)
        self.assertEqual([b"5" + self.VALUE], [c.value for c in excerpt.changes])

    def replace(self, revision, era):
        value = b"%d" % revision + self.VALUE
        change = store_view.KeyChange("op/config", revision, value)
        self.view.replace([change], revision, 0.0, era=era)

    def test_all_items_read_again_are_sent_with_deltas_within_an_era_only(self):
        for revision, era in ((6, 2), (7, 2)):
            self.replace(revision, era)
        for era, base_revisions in ((2, [6]), (1, []), (3, [])):
            exchange = Exchange()
            request = excerpt_client.ExcerptRequest(6, ("op/",), 0.0, era, True)
            self.server.on_request(exchange, request, can_decompress=True)
            excerpt = excerpt_codec.decode_excerpt(exchange.body)
            self.assertTrue(excerpt.is_whole)
            found = [change.base_revision for change in excerpt.deltas]
            self.assertEqual(base_revisions, found)

    def test_a_follower_without_a_copy_gets_the_value(self):
        excerpt = excerpt_codec.decode_excerpt(self.fetch(0, True).body)
        self.assertEqual([b"5" + self.VALUE], [c.value for c in excerpt.changes])


class ExcerptServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.view = store_view.View()
        self.server = excerpt_server.ExcerptServer(self.view, self.clock)
        self.exchange = Exchange()
        request = excerpt_client.ExcerptRequest(0, ("op/",))
        self.server.on_request(self.exchange, request)

    def test_answers_once_the_first_copy_is_there(self):
        self.assertIsNone(self.exchange.status)
        change = store_view.KeyChange("op/config", 4, b"c")
        self.view.replace([change], 4, self.clock.seconds())
        self.server.notify_waiters()
        self.assertEqual(200, self.exchange.status)

    def test_answers_503_without_a_copy(self):
        self.clock.advance(excerpt_server.EMPTY_VIEW_WAIT_S)
        self.assertEqual(503, self.exchange.status)
