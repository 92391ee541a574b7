"""Tests how excerpts of the copy of the store are served."""

import testtools
from twisted.internet import task

from toucanspread.core.view import store_view
from toucanspread.ops import excerpt_client, excerpt_server


class Exchange:
    """A request of a peer with the response to it."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.on_disconnected = None

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.body = body


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
