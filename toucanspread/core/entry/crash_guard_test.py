"""Tests which prompts are quarantined after crashes of engines."""

import itertools
import random

import msgspec
import testtools

from toucanspread.core.entry import (
    crash_causes,
    crash_evidence,
    crash_guard,
    guard_program,
    part_quarantine,
    sound_parts,
)
from toucanspread.core.entry import data as entry_data

DELAY_S = 0.003  # of notices between entries


CALL_NUMBERS = itertools.count()


def make_call(*parts, attempt_id=None):
    attempt_id = attempt_id or f"id-{next(CALL_NUMBERS)}"
    return entry_data.Call(attempt_id, "h", "/p/", None, prompt_parts=parts)


def make_guard(names=("n",)):
    """Return a guard whose program ignores what it says."""
    return Program(list(names), "n", 1).guard


class Program(guard_program.GuardProgram):
    """The program of one entry."""

    def __init__(self, names, name, seed):
        self.names = names
        self.name = name
        self.due_s = crash_guard.NEVER_S
        self.events = []
        self.sent = []
        self.guard = crash_guard.CrashGuard(self, random.Random(f"{seed}/{name}"))

    def list_members(self):
        return guard_program.Members(self.name, self.names)

    def on_due(self, due_s):
        self.due_s = min(self.due_s, due_s)

    def on_suspected(self, crash, call):
        self.events.append(("suspected", crash.parts))

    def on_quarantined(self, parts, crashes):
        self.events.append(("quarantined", parts))

    def on_narrowed(self, parts, remaining):
        self.events.append(("narrowed", remaining))

    def on_lifted(self, parts, why):
        self.events.append(("lifted", why))


class Cluster:
    """Entries in virtual time that send each other notices as encoded datagrams."""

    def __init__(self, entry_count=3, seed=1, loses=lambda sender, receiver: False):
        self.names = [f"n{number}" for number in range(entry_count)]
        self.seed = seed
        self.loses = loses
        self.now_s = 0.0
        self.programs = {name: self._make_program(name) for name in self.names}
        self._decoder = msgspec.msgpack.Decoder(entry_data.EngineNotice)
        self._in_transit = []
        self._crash_count = 0

    def _make_program(self, name):
        return Program(self.names, name, self.seed)

    def restart(self, number):
        name = self.names[number]
        self.programs[name] = self._make_program(name)

    def guard(self, number=0):
        return self.programs[self.names[number]].guard

    def run(self, duration_s):
        """Let time pass; notices that are due are sent and arrive."""
        end_s = self.now_s + duration_s
        while True:
            due = [program.due_s for program in self.programs.values()]
            arrivals = [at_s for at_s, _, _ in self._in_transit]
            next_s = min(due + arrivals)
            if next_s > end_s:
                break
            self.now_s = max(next_s, self.now_s)
            self._deliver()
            self._send_due()
        self.now_s = end_s

    def _deliver(self):
        arrived = [each for each in self._in_transit if each[0] <= self.now_s]
        self._in_transit = [each for each in self._in_transit if each[0] > self.now_s]
        for _, receiver, payload in arrived:
            notice = self._decoder.decode(payload)
            self.programs[receiver].guard.on_notice(notice, self.now_s)

    def _send_due(self):
        for name, program in self.programs.items():
            if program.due_s > self.now_s:
                continue
            program.due_s = crash_guard.NEVER_S
            for notice in program.guard.take_due(self.now_s):
                program.sent.append(notice)
                payload = msgspec.msgpack.encode(notice)
                for receiver in self.names:
                    if receiver != name and not self.loses(name, receiver):
                        arrival_s = self.now_s + DELAY_S
                        self._in_transit.append((arrival_s, receiver, payload))

    def break_off(self, calls, engine=None):
        """Let an engine crash; requests are of the entries by their numbers."""
        self._crash_count += 1
        engine = engine or f"e{self._crash_count}"
        incarnation = crash_evidence.Incarnation(engine, 7)
        for number, *parts in calls:
            self.guard(number).on_break(incarnation, make_call(*parts), self.now_s)
        return incarnation

    def crash(self, *calls, after_s=0.1):
        """Let an engine crash, and time pass."""
        incarnation = self.break_off(calls)
        self.run(after_s)
        return incarnation

    def answer(self, number, *parts, duration_s=1.0, engine="s"):
        """Let an engine give a whole answer; return its incarnation."""
        incarnation = crash_evidence.Incarnation(engine, 7)
        began_s = self.now_s - duration_s
        call = make_call(*parts)
        self.guard(number).on_whole_answer(incarnation, call, began_s, self.now_s)
        return incarnation

    def signatures(self, number=0):
        return {frozenset(each) for each in self.guard(number).quarantines.signatures()}

    def is_quarantined(self, number, *parts):
        """Return whether an entry holds a quarantine of a request, without a trial."""
        return self.guard(number).is_quarantined(make_call(*parts))

    def is_refused(self, number, *parts):
        admission = self.guard(number).admit(make_call(*parts), self.now_s)
        return admission is crash_guard.Admission.REFUSED

    def count_sent(self, kind, name=None):
        programs = [self.programs[name]] if name else self.programs.values()
        return sum(isinstance(n, kind) for each in programs for n in each.sent)

    def quarantine(self, *parts):
        """Let engines crash until some parts are quarantined."""
        for number in range(4):
            self.crash((number % len(self.names), *parts))
        self.run(0.5)


class QuarantineTest(testtools.TestCase):
    def assert_quarantined(self, cluster, *signatures):
        expected = {frozenset(parts) for parts in signatures}
        for number in range(len(cluster.names)):
            self.assertEqual(expected, cluster.signatures(number), f"entry {number}")

    def test_a_part_is_found_at_any_place_among_the_shared_parts(self):
        for parts in (("P", "a", "b"), ("a", "P", "b"), ("a", "b", "P")):
            cluster = Cluster()
            cluster.answer(2, "a", "b", "c")
            for number in range(4):
                cluster.crash((number % 3, *parts))
            cluster.run(0.5)
            self.assert_quarantined(cluster, ("P",))
            for number in range(3):
                self.assertTrue(cluster.is_refused(number, *parts))
                self.assertTrue(cluster.is_refused(number, "c", "P"))
                self.assertFalse(cluster.is_refused(number, "a", "b"))

    def test_crashes_are_merged_over_entries_of_which_each_knows_one(self):
        for entry_count in (1, 3, 18):
            cluster = Cluster(entry_count)
            for number in range(3):
                cluster.crash((number % entry_count, "P"))
            cluster.run(0.5)
            self.assert_quarantined(cluster, ("P",))

    def test_two_crashes_are_no_cause(self):
        cluster = Cluster()
        for number in range(2):
            cluster.crash((number, "P"))
        cluster.run(5.0)
        self.assert_quarantined(cluster)

    def test_one_request_that_is_sent_again_and_again_is_no_cause(self):
        cluster = Cluster()
        call = make_call("S")
        for number in range(6):
            incarnation = crash_evidence.Incarnation(f"e{number}", 7)
            cluster.guard(0).on_break(incarnation, call, cluster.now_s)
            cluster.run(0.1)
        cluster.run(0.5)
        self.assert_quarantined(cluster)

    def test_one_crash_that_several_entries_report_counts_once(self):
        cluster = Cluster()
        for _ in range(4):
            cluster.break_off([(0, "P"), (1, "P"), (2, "P")], engine="e")
            cluster.run(0.1)
        cluster.run(0.5)
        self.assert_quarantined(cluster)

    def test_crashes_over_a_long_time_are_no_cause(self):
        cluster = Cluster()
        for _ in range(6):
            cluster.crash((0, "P"), after_s=crash_evidence.WINDOW_S * 0.6)
        self.assert_quarantined(cluster)

    def test_engines_that_are_lost_at_the_same_moment_are_no_cause(self):
        cluster = Cluster()
        for _ in range(8):
            cluster.crash((0, "P"), (1, "P"), after_s=crash_evidence.MOMENT_S / 10)
        cluster.run(5.0)
        self.assert_quarantined(cluster)

    def test_an_engine_that_only_closes_connections_is_no_evidence(self):
        cluster = Cluster()
        for _ in range(4):
            after_s = crash_evidence.ALIVE_AFTER_S + 0.1
            incarnation = cluster.crash((0, "P"), after_s=after_s)
            for number in range(3):
                cluster.guard(number).on_engine_alive(incarnation, cluster.now_s)
        cluster.run(1.0)
        self.assert_quarantined(cluster)

    def test_a_quarantine_ends_when_its_engines_are_alive(self):
        cluster = Cluster()
        crashed = [cluster.crash((number, "P")) for number in range(3)]
        cluster.run(1.0)
        self.assert_quarantined(cluster, ("P",))
        cluster.restart(2)
        cluster.run(1.1)
        for number in range(3):
            self.assertTrue(cluster.is_quarantined(number, "P"))
            cluster.guard(number).on_engine_alive(crashed[0], cluster.now_s)
        cluster.run(5.0)
        self.assert_quarantined(cluster)

    def test_parts_that_always_come_together_are_quarantined_together(self):
        cluster = Cluster()
        cluster.quarantine("A", "P")
        self.assert_quarantined(cluster, ("A", "P"))
        self.assertFalse(cluster.is_refused(0, "A", "x"))
        self.assertTrue(cluster.is_refused(0, "A", "P", "x"))

    def test_a_crash_with_one_of_two_parts_tells_them_apart(self):
        cluster = Cluster()
        cluster.quarantine("A", "P")
        cluster.crash((1, "B", "P"))
        cluster.run(0.5)
        self.assertTrue(cluster.is_refused(2, "P", "C"))
        self.assertFalse(cluster.is_refused(2, "B", "A"))

    def test_a_whole_answer_with_one_of_two_parts_tells_them_apart(self):
        cluster = Cluster()
        cluster.quarantine("A", "P")
        cluster.answer(1, "A", "x")
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))

    def test_a_wrongly_chosen_part_of_two_does_not_free_the_other(self):
        cluster = Cluster()
        cluster.quarantine("A", "P")
        cluster.crash((1, "A", "B"))
        cluster.run(0.5)
        cluster.answer(2, "A")
        cluster.run(0.5)
        self.assertTrue(cluster.is_quarantined(0, "P"))
        self.assertFalse(cluster.is_quarantined(0, "A"))

    def test_a_sound_part_with_more_crashes_hides_no_crashing_part_for_long(self):
        cluster = Cluster()
        for parts in (("A",), ("A", "P"), ("A", "P"), ("A", "P")):
            cluster.crash((0, *parts), after_s=0.05)
            cluster.run(0.02)
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("A",))
        cluster.answer(1, "A")
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))

    def test_two_crashing_parts_are_both_found(self):
        cluster = Cluster()
        cluster.answer(0, "a", "b")
        for number in range(4):
            cluster.crash((number % 3, "a", "P"))
            cluster.crash((number % 3, "b", "Q"))
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",), ("Q",))

    def test_requests_at_the_same_engines_by_chance_are_not_quarantined(self):
        cluster = Cluster()
        for number in range(4):
            bystanders = [(2, "S")] if number < 3 else []
            cluster.crash((number % 3, "P"), *bystanders)
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))

    def test_a_part_that_came_to_a_quarantine_by_chance_is_released(self):
        cluster = Cluster()
        for number in range(3):
            cluster.crash((number, "P"), (2, "S"), after_s=0.2)
        cluster.run(0.2)
        self.assert_quarantined(cluster, ("P",), ("S",))
        cluster.crash((1, "P"))
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))

    def test_crashes_that_a_quarantine_explains_are_no_evidence_against_others(self):
        cluster = Cluster()
        cluster.quarantine("P")
        for _ in range(5):
            cluster.crash((0, "P"), (1, "S"))
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))
        self.assertTrue(cluster.guard(1).may_repeat(make_call("S")))

    def test_a_part_that_another_entry_knows_as_sound_is_not_quarantined(self):
        cluster = Cluster(18)
        for number in range(9):
            cluster.answer(number, "S")
        for number in range(5):
            cluster.crash((9 + number, "S"))
        cluster.run(1.0)
        self.assert_quarantined(cluster)

    def test_a_short_answer_just_before_a_crash_does_not_make_its_part_sound(self):
        cluster = Cluster()
        for number in range(4):
            engine = f"s{number}"
            cluster.answer(1, "P", duration_s=0.05, engine=engine)
            cluster.run(0.1)
            cluster.break_off([(2, "S")], engine)
            cluster.run(0.1)
        cluster.answer(0, "S")
        cluster.run(0.5)
        self.assert_quarantined(cluster, ("P",))

    def test_a_short_answer_makes_its_part_sound_once_its_engine_survived_it(self):
        cluster = Cluster()
        incarnation = cluster.answer(0, "S", duration_s=0.05)
        cluster.run(crash_evidence.JUST_BEGUN_S)
        cluster.guard(0).on_engine_alive(incarnation, cluster.now_s)
        for number in range(4):
            cluster.crash((number % 3, "S"))
        cluster.run(0.5)
        self.assert_quarantined(cluster)

    def test_few_of_many_entries_reply_that_a_part_is_sound(self):
        cluster = Cluster(350)
        for number in range(1, 350):
            cluster.answer(number, "S")
        cluster.crash((0, "S"))
        cluster.run(1.0)
        replies = cluster.count_sent(entry_data.PartsSound)
        self.assertGreaterEqual(replies, 1)
        self.assertLessEqual(replies, 10)

    def test_few_of_many_entries_announce_a_quarantine(self):
        cluster = Cluster(350)
        for number in range(4):
            cluster.crash((number, "P"))
        cluster.run(5.0)
        announcements = cluster.count_sent(entry_data.PartsQuarantined)
        self.assertGreaterEqual(announcements, 4)
        self.assertLessEqual(announcements, 40)

    def test_a_part_that_was_sound_long_ago_may_be_quarantined(self):
        cluster = Cluster()
        cluster.answer(0, "P")
        cluster.run(sound_parts.MEMORY_S + 1.0)
        cluster.quarantine("P")
        self.assert_quarantined(cluster, ("P",))

    def test_a_request_is_not_repeated_while_its_part_is_about_to_be_quarantined(self):
        cluster = Cluster()
        call = make_call("P")
        for number in range(3):
            self.assertTrue(cluster.guard(number).may_repeat(call))
            cluster.crash((number, "P"), after_s=0.06)
        self.assert_quarantined(cluster)
        for number in range(3):
            self.assertFalse(cluster.guard(number).may_repeat(call))
            self.assertTrue(cluster.guard(number).may_repeat(make_call("a")))

    def test_a_part_of_few_among_many_crashes_is_no_cause(self):
        cluster = Cluster()
        for number in range(16):
            parts = [(1, "S")] if number % 6 == 0 else [(0, f"other-{number}")]
            cluster.crash(*parts)
        cluster.run(0.5)
        self.assert_quarantined(cluster)

    def test_a_part_is_sound_once_an_engine_wrote_an_answer_for_a_while(self):
        cluster = Cluster()
        for number in range(2):
            cluster.crash((number, "S"))
        cluster.guard(2).on_survived(make_call("S"), cluster.now_s)
        for number in range(2):
            cluster.crash((number, "S"))
        cluster.run(0.5)
        self.assert_quarantined(cluster)

    def test_requests_without_shared_parts_are_no_evidence(self):
        cluster = Cluster()
        for number in range(5):
            cluster.crash((number % 3,))
        cluster.run(0.5)
        self.assert_quarantined(cluster)
        self.assertFalse(cluster.is_refused(0))


class SpreadTest(testtools.TestCase):
    def test_an_entry_that_starts_learns_of_a_quarantine_within_a_second(self):
        cluster = Cluster(18)
        cluster.quarantine("P")
        cluster.run(40.0)
        cluster.restart(5)
        self.assertEqual(set(), cluster.signatures(5))
        cluster.run(1.1)
        self.assertEqual({frozenset("P")}, cluster.signatures(5))

    def test_a_quarantine_reaches_entries_that_lose_most_notices(self):
        source = random.Random(3)
        cluster = Cluster(18, loses=lambda sender, receiver: source.random() < 0.5)
        for number in range(4):
            cluster.crash((number, "P"))
        cluster.run(10.0)
        for number in range(18):
            self.assertTrue(cluster.is_quarantined(number, "P"))

    def test_an_entry_that_was_cut_off_learns_of_a_quarantine_and_of_its_end(self):
        cut = set()
        cluster = Cluster(3, loses=lambda *names: bool(cut.intersection(names)))
        cut.add("n2")
        cluster.quarantine("P")
        self.assertEqual(set(), cluster.signatures(2))
        cut.clear()
        cluster.run(1.1)
        self.assertTrue(cluster.is_quarantined(2, "P"))
        cut.add("n2")
        cluster.answer(0, "P")
        cluster.run(1.0)
        self.assertTrue(cluster.is_quarantined(2, "P"))
        cut.clear()
        cluster.run(2.5)
        self.assertFalse(cluster.is_quarantined(2, "P"))
        self.assertFalse(cluster.is_quarantined(0, "P"))

    def test_all_entries_that_restart_together_learn_it_again(self):
        cluster = Cluster()
        cluster.quarantine("P")
        for number in range(3):
            cluster.restart(number)
        cluster.quarantine("P")
        self.assertTrue(cluster.is_refused(0, "P"))

    def test_a_quarantine_lasts_while_requests_come_to_any_entry(self):
        cluster = Cluster()
        cluster.quarantine("P")
        for _ in range(4):
            cluster.run(part_quarantine.MAX_IDLE_S * 0.6)
            cluster.guard(2).admit(make_call("P"), cluster.now_s)
        self.assertEqual({frozenset("P")}, cluster.signatures(0))

    def test_a_quarantine_without_requests_ends(self):
        cluster = Cluster()
        cluster.quarantine("P")
        cluster.run(part_quarantine.MAX_IDLE_S + 5.0)
        for number in range(3):
            self.assertEqual(set(), cluster.signatures(number))

    def test_malformed_notices_are_not_decoded(self):
        decoder = msgspec.msgpack.Decoder(entry_data.EngineNotice)
        # A prompt has up to 32 shared parts; the whole request is one more.
        for parts in ([], ["a"] * 34, ["a" * 65], [1], "ab"):
            for fields in (
                {
                    "type": "CrashSuspected",
                    "engine_id": "e",
                    "born_ms": 1,
                    "request": 1,
                },
                {"type": "PartsSound", "age_s": 1.0},
                {
                    "type": "PartsQuarantined",
                    "idle_s": 0.0,
                    "trials": 0,
                    "trial_in_s": 1.0,
                },
                {"type": "QuarantineLifted"},
            ):
                payload = msgspec.msgpack.encode({**fields, "parts": parts})
                self.assertRaises(msgspec.MsgspecError, decoder.decode, payload)
        for age_s in (-1.0, float("nan"), float("inf")):
            fields = {"type": "PartsSound", "parts": ["a"], "age_s": age_s}
            payload = msgspec.msgpack.encode(fields)
            self.assertRaises(msgspec.MsgspecError, decoder.decode, payload)

    def test_many_parts_and_crashes_need_limited_memory(self):
        cluster = Cluster(1)
        guard = cluster.guard(0)
        for number in range(2_000):
            incarnation = crash_evidence.Incarnation(f"e{number}", 1)
            guard.on_break(incarnation, make_call(f"p{number}"), number * 0.001)
            call = make_call(f"s{number}")
            guard.on_whole_answer(incarnation, call, number * 0.001, number * 0.001)
            parts = (entry_data.PromptPartId(f"q{number}"),)
            notice = entry_data.PartsQuarantined(parts, 0.0, 0, 1.0)
            guard.on_notice(notice, number * 0.001)
        quarantines = guard.quarantines.all()
        self.assertEqual(part_quarantine.MAX_QUARANTINE_COUNT, len(quarantines))
        self.assertLessEqual(
            len(guard.evidence.crashes()), crash_evidence.MAX_CRASH_COUNT
        )


class TrialTest(testtools.TestCase):
    def ask_all(self, cluster):
        """Let each entry get a request; return the numbers of those that try it."""
        call = make_call("P")
        return [
            number
            for number in range(len(cluster.names))
            if cluster.guard(number).admit(call, cluster.now_s)
            is crash_guard.Admission.TRIAL
        ]

    def test_one_entry_makes_a_trial_after_a_while(self):
        for entry_count in (1, 3, 18):
            cluster = Cluster(entry_count)
            cluster.quarantine("P")
            trial_s = min(
                cluster.guard(number).quarantines.all()[0].trial_s
                for number in range(entry_count)
            )
            cluster.run(trial_s - cluster.now_s - 0.01)
            self.assertEqual([], self.ask_all(cluster))
            cluster.run(0.1)
            self.assertEqual(1, len(self.ask_all(cluster)))
            cluster.run(1.0)
            self.assertEqual([], self.ask_all(cluster))

    def test_few_requests_are_let_through_while_the_part_crashes_engines(self):
        cluster = Cluster(18)
        cluster.quarantine("P")
        source = random.Random(5)
        trials = 0
        for _ in range(3_000):
            number = source.randrange(18)
            admission = cluster.guard(number).admit(make_call("P"), cluster.now_s)
            if admission is crash_guard.Admission.TRIAL:
                trials += 1
                cluster.crash((number, "P"), after_s=0.1)
            cluster.run(0.1)
        self.assertEqual(2, trials)

    def test_other_entries_make_the_trial_if_the_first_has_no_request(self):
        cluster = Cluster(18)
        cluster.quarantine("P")
        cluster.run(part_quarantine.TRIAL_INTERVALS_S[0] + 6.0)
        admission = cluster.guard(3).admit(make_call("P"), cluster.now_s)
        self.assertIs(crash_guard.Admission.TRIAL, admission)

    def test_a_whole_answer_to_a_trial_ends_the_quarantine_everywhere(self):
        cluster = Cluster()
        cluster.quarantine("P")
        cluster.run(part_quarantine.TRIAL_INTERVALS_S[0])
        (number,) = self.ask_all(cluster)
        cluster.run(1.0)
        cluster.answer(number, "P")
        cluster.run(1.0)
        for each in range(3):
            self.assertFalse(cluster.is_refused(each, "P"))

    def test_an_entry_that_starts_does_not_repeat_a_trial(self):
        cluster = Cluster()
        cluster.quarantine("P")
        cluster.run(part_quarantine.TRIAL_INTERVALS_S[0])
        self.ask_all(cluster)
        cluster.run(1.0)
        for number in range(3):
            cluster.restart(number)
            cluster.run(1.1)
        cluster.run(part_quarantine.TRIAL_INTERVALS_S[0] + 5.0)
        self.assertEqual([], self.ask_all(cluster))

    def test_a_part_is_tried_soon_if_another_may_be_the_cause(self):
        cluster = Cluster(1)
        cluster.answer(0, "x")
        for parts in (("A", "P"), ("A",), ("A", "P"), ("A", "P")):
            cluster.crash((0, *parts), after_s=0.1)
        cluster.run(1.5)
        admission = cluster.guard(0).admit(make_call("A"), cluster.now_s)
        self.assertIs(crash_guard.Admission.TRIAL, admission)
        self.assertTrue(cluster.is_refused(0, "A"))
        cluster.run(5.0)
        admission = cluster.guard(0).admit(make_call("A"), cluster.now_s)
        self.assertIs(crash_guard.Admission.TRIAL, admission)

    def test_an_entry_that_learns_of_an_ambiguous_quarantine_tries_it_soon_again(self):
        cluster = Cluster(1)
        notice = entry_data.PartsQuarantined(("P",), 0.0, 0, 0.5, is_ambiguous=True)
        cluster.guard(0).on_notice(notice, cluster.now_s)
        for _ in range(2):
            cluster.run(5.1)
            admission = cluster.guard(0).admit(make_call("P"), cluster.now_s)
            self.assertIs(crash_guard.Admission.TRIAL, admission)

    def test_a_request_of_two_quarantines_is_no_trial_of_either(self):
        cluster = Cluster()
        for parts in (("P",), ("A",)):
            notice = entry_data.PartsQuarantined(parts, 0.0, 0, 1.0)
            cluster.guard(0).on_notice(notice, cluster.now_s)
        cluster.run(60.0)
        self.assertTrue(cluster.is_refused(0, "A", "P"))
        admission = cluster.guard(0).admit(make_call("A"), cluster.now_s)
        self.assertIs(crash_guard.Admission.TRIAL, admission)


class FindCausesTest(testtools.TestCase):
    def test_evidence_of_a_sound_part_is_removed(self):
        evidence = crash_evidence.CrashEvidence()
        for number in range(4):
            incarnation = crash_evidence.Incarnation(f"e{number}", 1)
            suspect = crash_evidence.Suspect(number, frozenset("AP"))
            evidence.add(incarnation, suspect, number * 0.1)
        evidence.remove_part("A")
        (cause,) = crash_causes.find_causes(evidence, [], 1.0)
        self.assertEqual(frozenset("P"), cause.parts)
        evidence.remove_part("P")
        self.assertEqual([], crash_causes.find_causes(evidence, [], 1.0))
        self.assertEqual(frozenset(), evidence.crashes())
