"""Only whole events are passed on."""

import hypothesis
import testtools
from hypothesis import strategies

from toucanspread.core.entry import event_stream

EVENTS = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 20))


class SplitterTest(testtools.TestCase):
    @hypothesis.given(strategies.lists(strategies.integers(1, len(EVENTS) - 1)))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_pieces_of_any_size_give_the_same_whole_events(self, cuts):
        splitter = event_stream.EventSplitter()
        bounds = [0, *sorted(cuts), len(EVENTS)]
        passed = b""
        for start, end in zip(bounds, bounds[1:], strict=False):
            whole = splitter.feed(EVENTS[start:end])
            passed += whole
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
        self.assertEqual(EVENTS, passed)
        self.assertEqual("19", splitter.last_event_id)
        self.assertFalse(splitter.has_partial_event)

    def test_an_event_that_broke_off_is_held_back(self):
        splitter = event_stream.EventSplitter()
        whole = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual(b"id: 1\ndata: a\n\n", whole)
        self.assertEqual("1", splitter.last_event_id)
        self.assertTrue(splitter.has_partial_event)
