"""Checks that the check of callers finds what breaks a rule, and only that."""

import testtools

from standins import caller_check, crash_check, simulated_prompts
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions

PART = entry_data.PromptPartId("c")
SOUND = simulated_prompts.Prompt("key", (entry_data.PromptPartId("p"),))
CRASHING = simulated_prompts.Prompt("key", (SOUND.parts[0], PART), PART)
FAILED = decisions.FailureCause.ENGINE_FAILED
FULL = decisions.FailureCause.ENGINES_FULL
CRASHES = decisions.FailureCause.REQUEST_CRASHES_ENGINES


def make_check(crash_count=5):
    """Return a check of a part on which engines crash at 10 s."""
    crashes = crash_check.CrashCheck()
    for _ in range(crash_count):
        crashes.record_crash(10.0, PART)
    return caller_check.CallerCheck(crashes)


def record_attempts(check, count, arrived_s, has_begun, prompt=SOUND, duration_s=0.0):
    """Record first attempts that arrived together."""
    for _ in range(count):
        check.record_first_attempt(
            caller_check.FirstAttempt(arrived_s, duration_s, prompt, has_begun)
        )


class WaitTest(testtools.TestCase):
    def count_violations(
        self, duration_s, count=4, has_begun=False, arrived_s=13.1, crash_count=5
    ):
        check = make_check(crash_count)
        record_attempts(check, count, arrived_s, has_begun, CRASHING, duration_s)
        return len(check.list_waits())

    def test_more_than_the_allowed_requests_may_not_wait(self):
        self.assertEqual(1, self.count_violations(0.11))
        self.assertEqual(0, self.count_violations(0.11, count=3))
        self.assertEqual(0, self.count_violations(0.1))

    def test_a_request_that_begins_is_not_refused(self):
        self.assertEqual(1, self.count_violations(0.0, has_begun=True))

    def test_requests_may_wait_before_the_part_must_be_known(self):
        self.assertEqual(0, self.count_violations(1.0, arrived_s=13.0))
        self.assertEqual(0, self.count_violations(1.0, crash_count=4))


class ResumedTest(testtools.TestCase):
    def count_violations(self, resumed, failed, cause=FAILED, **options):
        check = make_check()
        usual = caller_check.Break(10.0, SOUND, True, 1, None)._replace(**options)
        for _ in range(resumed):
            check.record_break(usual)
        for _ in range(failed):
            check.record_break(usual._replace(cause=cause))
        return len(check.list_unresumed())

    def test_more_than_a_tenth_may_not_end_with_their_engines(self):
        self.assertEqual(1, self.count_violations(17, 3))
        self.assertEqual(0, self.count_violations(18, 2))

    def test_only_what_another_engine_could_take_over_counts(self):
        self.assertEqual(0, self.count_violations(10, 10, cause=FULL))
        self.assertEqual(0, self.count_violations(10, 10, runs=2))
        self.assertEqual(0, self.count_violations(10, 10, has_begun=False))
        self.assertEqual(0, self.count_violations(10, 10, prompt=CRASHING))


class RefusedPartTest(testtools.TestCase):
    def count_violations(self, cause, prompt=SOUND, at_s=5.0):
        check = make_check()
        check.record_refusal(caller_check.Refusal(at_s, prompt, cause))
        return len(check.list_refused_parts(5.0))

    def test_only_the_state_of_engines_may_be_the_cause(self):
        self.assertEqual(1, self.count_violations(CRASHES))
        self.assertEqual(0, self.count_violations(FULL))

    def test_other_prompts_and_times_do_not_count(self):
        self.assertEqual(0, self.count_violations(CRASHES, CRASHING))
        self.assertEqual(0, self.count_violations(CRASHES, at_s=4.9))


class KeptOutTest(testtools.TestCase):
    def count_violations(self, begun, lost, usual=20, arrived_s=20.0):
        check = make_check()
        record_attempts(check, usual, 1.0, True)
        record_attempts(check, 20 - usual, 1.0, False)
        other = SOUND._replace(parts=(entry_data.PromptPartId("q"),))
        record_attempts(check, 1_000, 20.0, True, other)
        record_attempts(check, begun, arrived_s, True)
        record_attempts(check, lost, arrived_s, False)
        return len(check.list_kept_out(5.0, 20.0))

    def test_one_part_of_many_may_not_be_kept_out(self):
        self.assertEqual(1, self.count_violations(8, 2))
        self.assertEqual(0, self.count_violations(9, 1))

    def test_a_part_need_not_begin_more_often_than_before(self):
        self.assertEqual(0, self.count_violations(9, 11, usual=10))
        self.assertEqual(1, self.count_violations(8, 12, usual=10))

    def test_attempts_before_the_end_of_the_faults_do_not_count(self):
        self.assertEqual(0, self.count_violations(0, 20, arrived_s=19.9))

    def test_a_part_is_judged_if_there_were_no_attempts_before_the_faults(self):
        check = make_check()
        record_attempts(check, 20, 20.0, False)
        self.assertEqual(2, len(check.list_kept_out(5.0, 20.0)))
