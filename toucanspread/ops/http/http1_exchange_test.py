"""Tests the answer to one request on an accepted connection."""

import testtools
from twisted.internet import task

from toucanspread.ops.http import http1, http1_exchange


class RecordingConnection(http1_exchange.AnswerConnection):
    reactor = task.Clock()
    request_started_s = 0.0
    is_blocked = False

    def __init__(self):
        self.written = b""

    def write(self, payload):
        self.written += payload

    def abort(self):
        return

    def reset_unless_complete(self):
        return

    def closes_after_answer(self, head, is_whole):
        return False

    def on_exchange_finished(self):
        return


class HeadRequestTest(testtools.TestCase):
    def answer(self, method):
        connection = RecordingConnection()
        head = http1.RequestHead(method, b"/", [])
        exchange = http1_exchange.Exchange(connection, head, b"")
        exchange.start(200, [])
        exchange.write(b"part")
        exchange.finish()
        return connection.written

    def test_a_stream_that_answers_a_head_request_is_its_head_only(self):
        self.assertTrue(self.answer(b"HEAD").endswith(b"chunked\r\n\r\n"))
        self.assertTrue(self.answer(b"GET").endswith(http1.LAST_CHUNK))
