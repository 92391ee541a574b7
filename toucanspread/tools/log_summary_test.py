"""Tests that logs are summarized by second and plotted."""

import pathlib
import tempfile

import testtools

from toucanspread.tools import log_summary, summary_plot

LOGS = (
    "  1.0 e-1 time=100.0 event=started instance=e-1 role=entry",
    "time=101.2 event=request_answered id=a status=200 first_s=0.2 instance=e-1",
    "time=101.4 event=request_answered id=b status=200 first_s=0.6 instance=e-1",
    'time=101.5 event=request_refused id=c why="no engine" instance=e-1',
    'time=102.5 event=stream_broken id=d why="time over" instance=e-1',
    "time=102.0 event=order_answered version=2 accepted=True instance=s-1",
    "time=102.9 event=order_answered version=3 accepted=False instance=s-1",
    "time=103.5 event=order_answered version=3 accepted=True instance=s-1",
    "text between the log lines",
)


class LogSummaryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.summary = log_summary.summarize_lines(reversed(LOGS))

    def test_outcomes_are_counted_by_second(self):
        second = self.summary.seconds[1]
        self.assertEqual((2, 1, 0), (second.answered, second.refused, second.failed))
        self.assertEqual(1, self.summary.seconds[2].failed)
        self.assertEqual(1, self.summary.seconds[0].lifecycle_events["started"])

    def test_quantiles_of_times_to_the_first_event(self):
        self.assertEqual(0.2, self.summary.seconds[1].quantile_s(0.5))
        self.assertEqual(0.6, self.summary.seconds[1].quantile_s(1.0))
        self.assertEqual(0.0, self.summary.seconds[2].quantile_s(0.5))

    def test_engines_are_counted_by_their_last_accepted_version(self):
        self.assertEqual({2: 1}, dict(self.summary.count_engines_by_version(2)))
        self.assertEqual({3: 1}, dict(self.summary.count_engines_by_version(3)))

    def test_text_without_log_lines_raises_an_error(self):
        with testtools.ExpectedException(log_summary.NoLogLinesError):
            log_summary.summarize_lines(["text"])

    def test_plot_is_written(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.png"
            summary_plot.write_plot(self.summary, path)
            self.assertGreater(path.stat().st_size, 1_000)
