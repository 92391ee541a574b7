"""Tests how refusals of engines are classified."""

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions
from toucanspread.ops import engine_answer, http1
from toucanspread.platform import requests


class RecordingListener(engine_answer.DispatchListener):
    """Records how a dispatch failed."""

    call = entry_data.Call("7", "h", "/", None)

    def __init__(self):
        self.failures = []

    def on_stream_opened(self):
        raise AssertionError("no stream was sent")

    def on_events(self, events, last_event_id):
        raise AssertionError("no events were sent")

    def on_answer(self, status):
        raise AssertionError("the engine refused")

    def on_failure(self, failure):
        self.failures.append(failure)


class RefusalTest(testtools.TestCase):
    def refuse(self, *headers):
        """Return the failures reported for a 421 answer with the given headers."""
        listener = RecordingListener()
        dispatch = decisions.SendToEngine(1, "i-1", data.Address("a:1"), 1.0, 1.0)
        answer = engine_answer.EngineAnswer(
            listener, requests.PlatformDialect(), task.Clock(), dispatch
        )
        head = http1.AnswerHead(421, [http1.Header(b"X-Attempt-Id", b"7"), *headers])
        self.assertTrue(answer.on_head(head))
        answer.on_end()
        return listener.failures

    def test_refusal_by_another_engine_at_the_address_names_it(self):
        failures = self.refuse(http1.Header(b"X-Instance-Id", b"i-2"))
        self.assertEqual([decisions.DispatchFailure.OTHER_INSTANCE], failures)

    def test_refusal_by_the_expected_engine_is_a_rejection(self):
        failures = self.refuse(http1.Header(b"X-Instance-Id", b"i-1"))
        self.assertEqual([decisions.DispatchFailure.REJECTED], failures)

    def test_refusal_without_an_engine_id_is_a_rejection(self):
        self.assertEqual([decisions.DispatchFailure.REJECTED], self.refuse())
