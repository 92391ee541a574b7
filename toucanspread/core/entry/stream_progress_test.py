"""Tests that only events and a sufficient rate within them count as progress."""

import testtools

from toucanspread.core.entry import stream_progress

MINIMUM = stream_progress.MIN_PROGRESS_BYTES


class StreamProgressTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.progress = stream_progress.StreamProgress()

    def test_bytes_outside_events_are_no_progress(self):
        self.assertFalse(self.progress.record(False, 0))

    def test_beginning_of_an_event_counts_once(self):
        self.assertTrue(self.progress.record(False, 1))
        self.assertFalse(self.progress.record(False, 2))
        self.assertTrue(self.progress.record(True, 0))
        self.assertTrue(self.progress.record(False, 1))

    def test_bytes_within_an_event_count_in_portions(self):
        self.progress.record(True, 5)
        self.assertFalse(self.progress.record(False, 4 + MINIMUM))
        self.assertTrue(self.progress.record(False, 5 + MINIMUM))
        self.assertFalse(self.progress.record(False, 4 + 2 * MINIMUM))
        self.assertTrue(self.progress.record(False, 5 + 2 * MINIMUM))
