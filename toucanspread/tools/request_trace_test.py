"""Tests that a request's lines are found in logs that have prefixes of other tools."""

import testtools

from toucanspread.tools import request_trace

LINES = [
    "  1.2 front-1 time=10.500 event=dispatch_failed id=abc engine=i-1 "
    'why="not connected" number=1 then=Dispatch instance=front-1 role=entry',
    "  1.1 front-1 time=10.100 event=request_dispatched id=abc engine=i-1 number=1 "
    "instance=front-1 role=entry",
    "  1.1 front-1 time=10.200 event=request_dispatched id=xyz engine=abc number=1 "
    "instance=front-1 role=entry",
    "Traceback abc",
]


class RequestTraceTest(testtools.TestCase):
    def test_only_the_lines_of_the_request_are_selected_in_order(self):
        found = request_trace.select_request_lines("abc", LINES)
        events = [line.fields["event"] for line in found]
        self.assertEqual(["request_dispatched", "dispatch_failed"], events)
        self.assertEqual("not connected", found[1].fields["why"])

    def test_each_event_is_one_line_with_its_time(self):
        rendered = request_trace.format_trace(
            request_trace.select_request_lines("abc", LINES)
        )
        self.assertIn("400 ms  front-1  dispatch_failed", rendered[1])

    def test_unknown_request_gives_a_message(self):
        self.assertIn(
            "no log line",
            request_trace.format_trace(
                request_trace.select_request_lines("nope", LINES)
            )[0],
        )

    def test_line_cut_off_within_a_quoted_value_is_parsed(self):
        line = request_trace.parse_line(
            'time=1.000 event=stream_broken id=abc why="engine fa'
        )
        self.assertEqual("abc", line.fields["id"])
