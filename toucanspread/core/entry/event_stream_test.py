"""Tests that only complete events are relayed."""

import hypothesis
import testtools
from hypothesis import strategies

from toucanspread.core.entry import event_stream

EVENTS = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 20))


class EventSplitterTest(testtools.TestCase):
    @hypothesis.given(strategies.lists(strategies.integers(1, len(EVENTS) - 1)))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_pieces_of_any_size_give_the_same_complete_events(self, cuts):
        splitter = event_stream.EventSplitter()
        bounds = [0, *sorted(cuts), len(EVENTS)]
        relayed = b""
        for start, end in zip(bounds, bounds[1:], strict=False):
            complete = splitter.feed(EVENTS[start:end])
            relayed += complete
            self.assertTrue(not complete or complete.endswith(b"\n\n"))
        self.assertEqual(EVENTS, relayed)
        self.assertEqual("19", splitter.last_event_id)
        self.assertFalse(splitter.has_partial_event)

    def test_an_incomplete_event_is_not_relayed(self):
        splitter = event_stream.EventSplitter()
        complete = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual(b"id: 1\ndata: a\n\n", complete)
        self.assertEqual("1", splitter.last_event_id)
        self.assertTrue(splitter.has_partial_event)
