"""Tests that the log is limited and that writing it never blocks."""

import os

import testtools

from toucanspread.ops.telemetry import log_limits, logs

MAX_ROUTINE_LINES_PER_S = log_limits.MAX_LINES_PER_S[log_limits.LineClass.ROUTINE]


class LimiterTest(testtools.TestCase):
    def test_many_request_lines_do_not_displace_failure_lines(self):
        limiter = log_limits.Limiter(lambda: 5.5)
        written = sum(limiter.try_admit("request_dispatched") for _ in range(10_000))
        self.assertEqual(MAX_ROUTINE_LINES_PER_S, written)
        self.assertTrue(limiter.try_admit("request_failed"))
        self.assertTrue(limiter.try_admit("source_lost"))
        left_out = limiter.pop_left_out_counts()
        self.assertEqual({"left_out_routine": 10_000 - written}, left_out)
        self.assertEqual({}, limiter.pop_left_out_counts())

    def test_failure_lines_and_state_lines_have_a_limit_each(self):
        limiter = log_limits.Limiter(lambda: 5.5)
        failures = sum(limiter.try_admit("request_failed") for _ in range(203))
        states = sum(limiter.try_admit("source_lost") for _ in range(207))
        self.assertEqual((200, 200), (failures, states))
        self.assertEqual(
            {"left_out_failure": 3, "left_out_state": 7},
            limiter.pop_left_out_counts(),
        )

    def test_limit_starts_anew_each_second(self):
        now = [1.0]
        limiter = log_limits.Limiter(lambda: now[0])
        while limiter.try_admit("request_answered"):
            pass
        now[0] = 2.0
        self.assertTrue(limiter.try_admit("request_answered"))

    def test_number_of_left_out_lines_is_logged(self):
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
        for _ in range(MAX_ROUTINE_LINES_PER_S + 7):
            write_line(message)
        now[0] = 2.0
        write_line(message)
        self.assertIn("left_out_routine=7", lines[-2])


class NonBlockingStreamTest(testtools.TestCase):
    def test_reader_that_does_not_read_does_not_block_the_writer(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        stream = log_limits.NonBlockingStream(write_end)
        line = "x" * 999 + "\n"
        for _ in range(2_000):
            stream.write(line)
            stream.flush()
        self.assertGreater(stream.dropped_line_count, 1_000)
        os.read(read_end, 65_536)
        stream.flush()
        self.assertTrue(os.read(read_end, 1_000).endswith(b"x"))
