"""Tests that only complete events are relayed."""

import itertools

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


BYTE_ORDER_MARK = b"\xef\xbb\xbf"


def feed(*pieces, is_continuation=False):
    """Return a splitter that got the pieces, and what it returned for each."""
    splitter = event_stream.EventSplitter(is_continuation)
    return splitter, [splitter.feed(piece) for piece in pieces]


class LineEndTest(testtools.TestCase):
    def test_every_mix_of_line_ends_ends_an_event(self):
        for first, second in itertools.product((b"\n", b"\r\n", b"\r"), repeat=2):
            if first + second == b"\r\n":
                continue
            event = b"id: 1" + first + b"data: a" + first + second
            splitter, relayed = feed(event, b"id: 2\n")
            self.assertEqual(event, b"".join(relayed), event)
            self.assertEqual("1", splitter.last_event_id, event)
            self.assertTrue(splitter.has_partial_event)

    def test_blank_line_that_is_split_over_two_pieces_is_not_cut(self):
        splitter, relayed = feed(b"id: 1\r\n\r")
        self.assertEqual([b""], relayed)
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(b"id: 1\r\n\r\n", splitter.feed(b"\n"))
        self.assertFalse(splitter.has_partial_event)

    def test_event_with_lone_carriage_returns_is_relayed_at_once(self):
        splitter, relayed = feed(b"id: 1\rdata: a\r\r")
        self.assertEqual([b"id: 1\rdata: a\r\r"], relayed)
        self.assertFalse(splitter.has_partial_event)

    def test_a_line_end_of_two_bytes_is_no_blank_line(self):
        splitter, relayed = feed(b"id: 1\r", b"\ndata: a\r", b"\n")
        self.assertEqual([b"", b"", b""], relayed)
        self.assertTrue(splitter.has_partial_event)

    def test_ids_are_found_after_each_kind_of_line_end(self):
        for line_end in (b"\n", b"\r\n", b"\r"):
            splitter, _ = feed(line_end.join([b"data: a", b"id: 7", b"", b"x"]))
            self.assertEqual("7", splitter.last_event_id)

    def test_blank_lines_and_comments_after_the_last_event_are_no_event(self):
        for rest in (b"\n", b"\r\n\r\n", b":\n", b": bye\n\n", b"\n: bye\r\n"):
            splitter, relayed = feed(b"id: 1\n\n" + rest)
            self.assertEqual([b"id: 1\n\n" + rest], relayed)
            self.assertFalse(splitter.has_partial_event, rest)

    def test_comment_inside_an_event_does_not_end_it(self):
        splitter, relayed = feed(b"id: 1\n: more\n")
        self.assertEqual([b""], relayed)
        self.assertTrue(splitter.has_partial_event)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(b"\r\n:ai"), max_size=30),
        strategies.integers(0, 30),
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    def test_no_cut_changes_what_is_held_back(self, characters, cut):
        body = bytes(characters)
        whole, (relayed,) = feed(body)
        parts, pieces = feed(body[:cut], body[cut:])
        self.assertEqual(relayed, b"".join(pieces))
        self.assertEqual(whole.has_partial_event, parts.has_partial_event)
        self.assertEqual(whole.last_event_id, parts.last_event_id)


class ByteOrderMarkTest(testtools.TestCase):
    def test_id_after_a_byte_order_mark_is_found(self):
        event = BYTE_ORDER_MARK + b"id: 1\ndata: a\n\n"
        for cut in range(len(event)):
            splitter, relayed = feed(event[:cut], event[cut:])
            self.assertEqual(event, b"".join(relayed))
            self.assertEqual("1", splitter.last_event_id)

    def test_stream_that_goes_on_after_another_has_no_byte_order_mark(self):
        _, relayed = feed(BYTE_ORDER_MARK + b"id: 2\n\n", is_continuation=True)
        self.assertEqual([b"id: 2\n\n"], relayed)

    def test_part_of_a_byte_order_mark_is_no_complete_stream(self):
        splitter, relayed = feed(BYTE_ORDER_MARK[:2])
        self.assertEqual([b""], relayed)
        self.assertTrue(splitter.has_partial_event)


class ContinuationTest(testtools.TestCase):
    def is_wrong(self, *pieces, after="7"):
        splitter = event_stream.EventSplitter(True, after)
        for piece in pieces:
            splitter.feed(piece)
        return splitter.is_wrong_continuation

    def test_events_that_come_again_do_not_continue_a_stream(self):
        self.assertTrue(self.is_wrong(b"id: 7\ndata: a\n\n"))
        self.assertTrue(self.is_wrong(b"id: 1\ndata: a\n\nid: 8\ndata: b\n\n"))

    def test_text_without_an_id_does_not_continue_a_stream(self):
        self.assertTrue(self.is_wrong(b"HTTP/1.1 500 Error\r\nServer: x\r\n\r\n"))
        self.assertTrue(self.is_wrong(b"error\n\nid: 8\ndata: b\n\n"))

    def test_the_next_event_continues_a_stream(self):
        self.assertFalse(self.is_wrong(b"id: 8\ndata: a\n\nid: 8\ndata: b\n\n"))
        self.assertFalse(self.is_wrong(b": comment\n\n", b"data: a\nid:8\n\n"))
        self.assertFalse(self.is_wrong(b"id: 8\ndata", b": a\n\n"))

    def test_ids_that_are_no_numbers_are_not_compared(self):
        self.assertFalse(self.is_wrong(b"id: b\ndata: a\n\n", after="a"))
