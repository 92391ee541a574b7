"""Checks that the check of crashing parts finds what breaks a rule, and only that."""

import testtools

from standins import crash_check, simulated_prompts
from toucanspread.core.entry import data as entry_data

PART = entry_data.PromptPartId("c")
ENTRY = "entry"
SOUND = simulated_prompts.Prompt("key", (entry_data.PromptPartId("p"),))
CRASHING = simulated_prompts.Prompt("key", (SOUND.parts[0], PART), PART)


def make_check(crash_count=5):
    """Return a check of a part that came from 10 s, with all crashes, to 30 s."""
    check = crash_check.CrashCheck()
    check.record_request(10.0, "route", CRASHING)
    for _ in range(crash_count):
        check.record_crash(10.0, PART)
    check.record_request(30.0, "route", CRASHING)
    return check


def record_sound(check, count, arrived_s, has_begun, prompt=SOUND, route="route"):
    """Record sound requests that arrived together."""
    for _ in range(count):
        check.record_sound(
            crash_check.SoundRequest(arrived_s, route, prompt, has_begun)
        )


class BudgetTest(testtools.TestCase):
    def count_violations(self, sent_s, count=4, crash_count=5, contact=None):
        check = make_check(crash_count)
        check.contact = contact or check.contact
        for _ in range(count):
            check.record_arrival(sent_s, ENTRY, PART)
        return len(check.list_violations())

    def test_a_fourth_request_that_reaches_an_engine_breaks_the_budget(self):
        self.assertEqual(1, self.count_violations(13.1))
        self.assertEqual(0, self.count_violations(13.1, count=3))

    def test_requests_do_not_count_before_the_part_must_be_known(self):
        self.assertEqual(0, self.count_violations(12.9))
        self.assertEqual(0, self.count_violations(13.1, crash_count=4))

    def test_only_entries_that_are_cut_or_were_so_lately_are_excused(self):
        contact = crash_check.EntryContact()
        contact.lose(ENTRY)
        self.assertEqual(0, self.count_violations(20.0, contact=contact))
        contact.regain(21.0, ENTRY)
        self.assertEqual(0, self.count_violations(23.9, contact=contact))
        self.assertEqual(1, self.count_violations(24.0, contact=contact))


class LostTest(testtools.TestCase):
    def count_violations(self, begun, lost, at_s=16.1, crash_count=5, **options):
        check = make_check(crash_count)
        record_sound(check, 20, 5.0, True, **options)
        record_sound(check, begun, at_s, True, **options)
        record_sound(check, lost, at_s, False, **options)
        return len(check.list_violations())

    def test_sound_requests_of_which_less_than_half_begin_are_lost(self):
        self.assertEqual(1, self.count_violations(9, 11))
        self.assertEqual(0, self.count_violations(10, 10))

    def test_a_crash_that_stays_alone_excuses_no_loss(self):
        self.assertEqual(1, self.count_violations(9, 11, crash_count=1))

    def test_too_few_requests_are_not_judged(self):
        self.assertEqual(0, self.count_violations(0, 19))

    def test_loss_is_judged_only_while_crashing_requests_come(self):
        self.assertEqual(0, self.count_violations(0, 20, at_s=15.9))
        self.assertEqual(0, self.count_violations(0, 20, at_s=30.1))

    def test_one_first_part_of_several_may_not_be_lost(self):
        other = SOUND._replace(parts=(entry_data.PromptPartId("q"),))
        check = make_check()
        check.record_request(30.0, "route", CRASHING._replace(parts=other.parts))
        for prompt, has_begun in ((SOUND, False), (other, True)):
            record_sound(check, 20, 5.0, True, prompt)
            record_sound(check, 30, 16.1, has_begun, prompt)
        self.assertEqual(1, len(check.list_violations()))

    def test_requests_with_nothing_in_common_are_not_judged(self):
        other = simulated_prompts.Prompt("other", (entry_data.PromptPartId("q"),))
        self.assertEqual(0, self.count_violations(0, 20, prompt=other))
        self.assertEqual(0, self.count_violations(0, 20, route="other"))
