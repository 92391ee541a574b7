"""A day's logs become sums over time, and a picture."""

import pathlib
import tempfile

import testtools

from toucanspread.tools import day as days
from toucanspread.tools import picture

LOGS = (
    "  1.0 e-1 time=100.0 event=started instance=e-1 role=entry",
    "time=101.2 event=request_answered id=a status=200 first_s=0.2 instance=e-1",
    "time=101.4 event=request_answered id=b status=200 first_s=0.6 instance=e-1",
    'time=101.5 event=request_refused id=c why="no engine" instance=e-1',
    'time=102.5 event=stream_broken id=d why="time over" instance=e-1',
    "time=102.0 event=order_answered version=2 accepted=True instance=s-1",
    "time=102.9 event=order_answered version=3 accepted=False instance=s-1",
    "time=103.5 event=order_answered version=3 accepted=True instance=s-1",
    "text between the lines",
)


class DayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.day = days.collect(reversed(LOGS))

    def test_what_callers_got_is_counted_by_second(self):
        second = self.day.seconds[1]
        self.assertEqual((2, 1, 0), (second.answered, second.refused, second.failed))
        self.assertEqual(1, self.day.seconds[2].failed)
        self.assertEqual(1, self.day.seconds[0].life["started"])

    def test_times_have_quantiles(self):
        self.assertEqual(0.2, self.day.seconds[1].quantile_s(0.5))
        self.assertEqual(0.6, self.day.seconds[1].quantile_s(1.0))
        self.assertEqual(0.0, self.day.seconds[2].quantile_s(0.5))

    def test_engines_hold_what_they_accepted_last(self):
        self.assertEqual({2: 1}, dict(self.day.holders(2)))
        self.assertEqual({3: 1}, dict(self.day.holders(3)))

    def test_text_without_log_lines_is_told(self):
        with testtools.ExpectedException(days.NoLinesError):
            days.collect(["text"])

    def test_a_picture_is_drawn(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.png"
            picture.draw(self.day, path)
            self.assertGreater(path.stat().st_size, 1_000)
