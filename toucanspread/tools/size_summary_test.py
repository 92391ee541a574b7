"""Tests that the served part of attempts is summarized by size."""

import testtools

from toucanspread.tools import size_summary


def make_lines():
    """Return logs of ten answered attempts and ten that were not, the larger ones."""
    events = ["request_answered"] * 10 + [
        "request_refused",
        "request_failed",
        "stream_broken",
        "caller_left",
        "request_refused",
    ] * 2
    return [
        f"time=1.0 event={event} id={number} route=r status=200 tokens={10 + number}"
        for number, event in enumerate(events)
    ]


class SizeSummaryTest(testtools.TestCase):
    def test_the_served_part_is_counted_by_size(self):
        attempts = size_summary.parse_attempts(reversed(make_lines()))
        [summary] = size_summary.summarize(attempts)
        self.assertEqual((20, 0.5), (summary.attempt_count, summary.served_ratio))
        self.assertEqual((1.0, 0.0, 0.0, 0.0), summary.band_ratios)

    def test_lines_without_a_size_are_left_out(self):
        lines = ["time=1.0 event=request_refused id=a route=r tokens=0", "text"]
        self.assertEqual([], size_summary.parse_attempts(lines))
        self.assertEqual(1, len(size_summary.format_lines(lines)))
