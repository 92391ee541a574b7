"""A log stays bounded, and nobody waits for its reader."""

import os

import testtools

from toucanspread.ops import log_limits, logs


class LimiterTest(testtools.TestCase):
    def test_a_flood_of_requests_leaves_failures_in(self):
        limiter = log_limits.Limiter(lambda: 5.5)
        written = sum(limiter.try_admit("request_dispatched") for _ in range(10_000))
        self.assertEqual(log_limits.LineClass.ROUTINE.value, written)
        self.assertTrue(limiter.try_admit("request_failed"))
        self.assertTrue(limiter.try_admit("source_lost"))
        left_out = limiter.pop_left_out_counts()
        self.assertEqual({"left_out_routine": 10_000 - written}, left_out)
        self.assertEqual({}, limiter.pop_left_out_counts())

    def test_each_second_has_lines_of_its_own(self):
        now = [1.0]
        limiter = log_limits.Limiter(lambda: now[0])
        while limiter.try_admit("request_answered"):
            pass
        now[0] = 2.0
        self.assertTrue(limiter.try_admit("request_answered"))

    def test_left_out_lines_are_told(self):
        lines = []

        class Stream:
            def write(self, text):
                lines.append(text)

            def flush(self):
                return

        now = [1.0]
        write_line = logs.make_line_writer(
            Stream(), log_limits.Limiter(lambda: now[0]), {}
        )
        message = {"message_type": "request_answered", "timestamp": 1.0}
        for _ in range(log_limits.LineClass.ROUTINE.value + 7):
            write_line(message)
        now[0] = 2.0
        write_line(message)
        self.assertIn("left_out_routine=7", lines[-2])


class NonBlockingStreamTest(testtools.TestCase):
    def test_a_reader_that_does_not_read_holds_nobody_up(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        stream = log_limits.NonBlockingStream(writing)
        line = "x" * 999 + "\n"
        for _ in range(2_000):
            stream.write(line)
            stream.flush()
        self.assertGreater(stream.dropped_line_count, 1_000)
        os.read(reading, 65_536)
        stream.flush()
        self.assertTrue(os.read(reading, 1_000).endswith(b"x"))
