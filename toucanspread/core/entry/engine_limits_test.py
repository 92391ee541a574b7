"""Tests what an entry does under the limit that an engine names."""

import testtools

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engine_limits


def make_limit(limit_per_s=1.0, now_s=0.0):
    """Return a limit that the engine has just named."""
    limit = engine_limits.EngineLimit("e")
    limit.on_answer(limit_per_s, now_s - 0.1, now_s)
    return limit


def make_notice(limit_per_s, age_s=0.0, dispatches=0):
    return entry_data.LimitNotice("e", limit_per_s, age_s, dispatches)


def count_sent(limit, entry_count, end_s, step_s=0.01):
    """Return how many requests an entry with constant demand sends until a time."""
    count = 0
    for step in range(int(end_s / step_s)):
        if limit.wait_s(step * step_s, entry_count) == 0:
            limit.record_dispatch(step * step_s)
            count += 1
    return count


class EngineLimitTest(testtools.TestCase):
    def test_an_engine_without_a_limit_gets_any_number_of_requests(self):
        limit = engine_limits.EngineLimit("e")
        limit.on_answer(None, 0.0, 0.1)
        self.assertEqual(0.0, limit.wait_s(0.1, 18))
        self.assertIsNone(limit.record_dispatch(0.1))

    def test_the_only_entry_uses_the_whole_limit(self):
        self.assertEqual(19, count_sent(make_limit(2.0), 1, 10.0))

    def test_an_entry_keeps_to_its_part_though_it_hears_of_no_other(self):
        sent = count_sent(make_limit(2.0), 18, 60.0)
        part = 2.0 * engine_limits.PART_FACTOR / 18 * 60.0
        self.assertLessEqual(sent, part + engine_limits.MIN_PART_BURST)

    def test_requests_of_other_entries_use_up_the_limit(self):
        limit = make_limit(1.0)
        limit.on_notice(make_notice(1.0, dispatches=3), 1.0)
        self.assertAlmostEqual(3.0, limit.wait_s(1.0, 2))

    def test_a_pause_does_not_save_up_requests_without_bound(self):
        limit = make_limit(1.0)
        limit.wait_s(1_000.0, 1)
        count = 0
        while limit.wait_s(1_000.0, 1) == 0:
            limit.record_dispatch(1_000.0)
            count += 1
        self.assertEqual(2, count)

    def test_an_entry_learns_of_a_limit_from_another(self):
        limit = engine_limits.EngineLimit("e")
        limit.on_notice(make_notice(1.0), 5.0)
        self.assertGreater(limit.wait_s(5.0, 2), 0.9)

    def test_the_first_answer_with_a_limit_is_passed_on_to_the_other_entries(self):
        limit = engine_limits.EngineLimit("e")
        self.assertEqual(make_notice(1.5), limit.on_answer(1.5, 0.0, 0.1))
        self.assertIsNone(limit.on_answer(1.5, 0.2, 0.3))

    def test_a_limit_of_zero_still_lets_a_request_through_now_and_then(self):
        sent = count_sent(make_limit(0.0), 1, 60.0)
        self.assertThat([1, 2, 3, 4, 5, 6], testtools.matchers.Contains(sent))

    def test_the_end_of_a_limit_is_passed_on_and_applied_by_the_others(self):
        limit, other = make_limit(), make_limit()
        notice = limit.on_answer(None, 3.0, 3.2)
        self.assertIsNone(notice.limit_per_s)
        other.on_notice(notice, 3.2)
        self.assertEqual([0.0, 0.0], [limit.wait_s(3.2, 9), other.wait_s(3.2, 9)])

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(self):
        limit = make_limit(now_s=10.0)
        self.assertIsNone(limit.on_answer(None, 9.9, 10.5))
        self.assertGreater(limit.wait_s(10.5, 9), 0.0)

    def test_notices_of_an_entry_that_missed_the_end_do_not_restore_a_limit(self):
        limit = make_limit()
        limit.on_answer(None, 3.0, 3.2)
        limit.on_notice(make_notice(1.0, age_s=3.3, dispatches=1), 3.3)
        self.assertEqual(0.0, limit.wait_s(3.3, 9))

    def test_impossible_limits_in_notices_are_ignored(self):
        limit = engine_limits.EngineLimit("e")
        for value in (float("nan"), float("inf"), -1.0):
            limit.on_notice(make_notice(value), 1.0)
            self.assertEqual(0.0, limit.wait_s(1.0, 9), value)
