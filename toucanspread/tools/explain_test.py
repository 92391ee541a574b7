"""A request's story is found in logs that other tools have decorated."""

import testtools

from toucanspread.tools import explain

LINES = [
    "  1.2 front-1 time=10.500 event=dispatch_failed id=abc engine=i-1 "
    'why="not connected" number=1 then=Dispatch instance=front-1 role=entry',
    "  1.1 front-1 time=10.100 event=request_dispatched id=abc engine=i-1 number=1 "
    "instance=front-1 role=entry",
    "  1.1 front-1 time=10.200 event=request_dispatched id=xyz engine=abc number=1 "
    "instance=front-1 role=entry",
    "Traceback abc",
]


class ExplainTest(testtools.TestCase):
    def test_a_story_has_its_own_lines_in_order(self):
        found = explain.story("abc", LINES)
        events = [line.fields["event"] for line in found]
        self.assertEqual(["request_dispatched", "dispatch_failed"], events)
        self.assertEqual("not connected", found[1].fields["why"])

    def test_it_reads_as_one_line_an_event(self):
        rendered = explain.render(explain.story("abc", LINES))
        self.assertIn("400 ms  front-1  dispatch_failed", rendered[1])

    def test_an_unknown_request_is_said_to_be_unknown(self):
        self.assertIn("no line", explain.render(explain.story("nope", LINES))[0])

    def test_a_line_that_was_cut_off_is_still_read(self):
        line = explain.parse('time=1.000 event=stream_broken id=abc why="engine fa')
        self.assertEqual("abc", line.fields["id"])
