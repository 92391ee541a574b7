"""An engine is brought to the named version despite faults at any step."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import staging, staging_events, switch_turns

PROFILE = entry_data.ModelProfile(data.ModelName("m"), 4, 6, 1000, 0.3)
DIGESTS = tuple(f"d{number}" for number in range(6))
PIECE_S = 0.7


class FakeEngine:
    """Executes the stager's effects and records the orders."""

    def __init__(self, stager, version=0):
        self.stager = stager
        self.version = version
        self.born_ms = 1
        self.collected = []
        self.staged = {}
        self.orders = []
        self.now_s = 0.0

    def report(self, is_busy=False):
        event = staging_events.ReportRead(
            self.version, is_busy, len(self.orders), self.born_ms
        )
        return self.stager.on_report_read(event, self.now_s)

    def run(self, effects, max_steps=60):
        """Execute effects until none is left; report whenever none is pending."""
        pending = list(effects)
        for _ in range(max_steps):
            if not pending:
                pending = self.report()
            if not pending:
                return
            pending += self.execute(pending.pop(0))

    def execute(self, effect):
        match effect:
            case staging_events.ReadDigests(version):
                read = staging_events.DigestsRead(version, DIGESTS)
                return self.stager.on_digests_read(read, self.now_s)
            case staging_events.CollectPiece(version, number):
                self.collected.append(staging_events.PieceCollected(version, number))
                collected = staging_events.PieceCollected(version, number)
                return self.stager.on_piece_collected(collected, self.now_s)
            case staging_events.CheckStagedPieces(version):
                for piece in self.collected:
                    if piece.version == version:
                        self.staged[piece.number] = version
                self.collected = [p for p in self.collected if p.version != version]
                good = frozenset(n for n, v in self.staged.items() if v == version)
                checked = staging_events.StagedPiecesChecked(version, good)
                return self.stager.on_staged_checked(checked, self.now_s)
            case staging_events.SendOrder(version):
                wrong = [n for n in range(6) if self.staged.get(n) != version]
                if wrong:
                    raise AssertionError(f"ordered with wrong pieces: {wrong}")
                self.orders.append(version)
                self.version = version
                answered = staging_events.OrderAnswered(True)
                return self.stager.on_order_answered(answered, self.now_s)
        raise AssertionError(effect)


class StagerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stager = staging.Stager(PROFILE, PIECE_S)
        self.engine = FakeEngine(self.stager)

    def test_empty_engine_gets_the_first_version(self):
        self.engine.run([])
        self.assertEqual([1], self.engine.orders)

    def collect(self, number, transfer_s, now_s):
        event = staging_events.PieceCollected(1, number, transfer_s)
        self.stager.on_piece_collected(event, now_s)

    def start_collecting(self):
        """Request the first two pieces at 0 s."""
        self.engine.report()
        self.stager.on_digests_read(staging_events.DigestsRead(1, tuple("abcdef")), 0.0)
        self.stager.on_staged_checked(
            staging_events.StagedPiecesChecked(1, frozenset()), 0.0
        )

    def test_the_time_for_which_pieces_hold_up_other_bytes_does_not_stay_unknown(self):
        self.start_collecting()
        self.collect(0, 0.65, now_s=0.7)
        self.collect(1, 0.65, now_s=0.7)
        self.assertEqual(0.7, self.stager.estimate_link_delay_s())

    def test_pieces_that_follow_each_other_hold_up_bytes_for_the_time_of_both(self):
        self.start_collecting()
        self.collect(0, 0.35, now_s=0.35)
        self.collect(1, 0.35, now_s=0.7)
        self.assertEqual(0.7, self.stager.estimate_link_delay_s())

    def test_a_slow_holder_of_a_piece_does_not_count_as_a_slow_link(self):
        self.start_collecting()
        self.collect(0, 0.1, now_s=2.0)
        self.collect(1, 0.1, now_s=2.0)
        self.assertEqual(0.2, self.stager.estimate_link_delay_s())

    def test_no_bytes_are_held_up_while_no_piece_is_in_flight(self):
        self.assertEqual(0.0, self.stager.estimate_link_delay_s())
        self.start_collecting()
        for number in range(6):
            self.collect(number, 0.35, now_s=0.7)
        self.assertEqual(0.0, self.stager.estimate_link_delay_s())

    def test_staged_pieces_are_not_collected_again(self):
        self.engine.staged = dict.fromkeys(range(6), 1)
        effects = self.engine.report()
        kinds = []
        while effects:
            effect = effects.pop(0)
            kinds.append(type(effect))
            effects += self.engine.execute(effect)
        self.assertNotIn(staging_events.CollectPiece, kinds)
        self.assertEqual([1], self.engine.orders)

    def test_staged_piece_corrupted_before_the_order_is_collected_again(self):
        timing = switch_turns.SwitchTiming(10.3, turn=1.0, max_spread_s=20.0)
        self.engine.version = 1
        self.engine.report()
        self.engine.run(self.stager.on_version_named(2, timing, 0.0))
        self.assertEqual([], self.engine.orders)
        self.engine.staged[3] = 99
        self.engine.now_s = 10.0
        self.engine.run([])
        self.assertEqual([2], self.engine.orders)

    def test_restarted_engine_gets_its_pieces_again(self):
        self.engine.run([])
        self.engine.version = 0
        self.engine.born_ms = 2
        self.engine.staged = {}
        self.engine.orders = []
        self.engine.run([])
        self.assertEqual([1], self.engine.orders)

    def test_failed_manifest_read_is_retried_soon(self):
        """After a power loss, entries may start just after this process."""
        [wanted] = self.engine.report()
        self.assertIsInstance(wanted, staging_events.ReadDigests)
        self.stager.on_effect_failed(staging_events.EffectFailed(wanted.version), 10.0)
        self.assertEqual([], self.stager.on_tick(10.01))
        self.assertEqual([wanted], self.stager.on_tick(10.06))

    def test_order_without_effect_is_sent_again(self):
        effects = self.engine.report()
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, staging_events.SendOrder):
                break
            effects += self.engine.execute(effect)
        # No answer came, and the engine's report does not show the order.
        self.assertEqual([], self.engine.report())
        self.engine.now_s = staging.ORDER_REPORT_TIMEOUT_S + 0.1
        self.engine.run([])
        self.assertEqual([1], self.engine.orders)

    def test_an_engine_with_newer_weights_than_those_known_keeps_them(self):
        """A process that has just started may have an older copy of the store."""
        self.engine.version = 3
        self.engine.report()
        self.engine.run(self.stager.on_version_named(2, switch_turns.IMMEDIATE, 0.0))
        self.engine.now_s = 1.0
        self.engine.run([])
        self.assertEqual([], self.engine.orders)

    def test_a_version_that_was_named_after_the_newer_weights_is_loaded(self):
        self.engine.version = 3
        self.engine.report()
        self.engine.run(self.stager.on_version_named(4, switch_turns.IMMEDIATE, 0.0))
        self.assertEqual([4], self.engine.orders)

    def _name_two_versions(self, second_s):
        self.engine.version = 1
        self.engine.report()
        due_s = 7.2
        first = switch_turns.SwitchTiming(due_s)
        effects = self.stager.on_version_named(2, first, 0.0)
        effects += self.engine.execute(effects.pop())
        effects += self.engine.execute(effects.pop())
        collected_count = int(second_s / PIECE_S)
        while effects and collected_count:
            effects += self.engine.execute(effects.pop(0))
            collected_count -= 1
        second = switch_turns.SwitchTiming(second_s + due_s)
        return effects + self.stager.on_version_named(3, second, second_s)

    def test_version_named_right_after_another_replaces_it(self):
        effects = self._name_two_versions(1.0)
        self.engine.run(effects)
        self.assertEqual(3, self.stager.target.version)
        self.engine.now_s = 6.0
        self.engine.run([])
        self.assertEqual([3], self.engine.orders)

    def test_version_waits_for_the_one_before_if_both_meet_their_deadlines(self):
        self._name_two_versions(2.2)
        self.assertEqual(2, self.stager.target.version)
        self.assertEqual(3, self.stager.newest_version)

    def test_version_named_late_waits_for_the_one_before(self):
        effects = self._name_two_versions(4.0)
        self.assertEqual(2, self.stager.target.version)
        self.assertEqual(3, self.stager.newest_version)
        self.engine.now_s = 4.5
        self.engine.run(effects)
        self.engine.now_s = 9.0
        self.engine.run([])
        self.assertEqual([2, 3], self.engine.orders)


class MissingPiecesTest(testtools.TestCase):
    """An engine serves the older version until all pieces of the newer one are held.

    The origin may be unreachable for seconds right after a version is named.
    """

    def setUp(self):
        super().setUp()
        self.stager = staging.Stager(PROFILE, PIECE_S)
        engine = FakeEngine(self.stager)
        engine.run(engine.report())
        timing = switch_turns.SwitchTiming(7.6)
        self.stager.on_version_named(2, timing, now_s=0.0)
        self.stager.on_digests_read(staging_events.DigestsRead(2, DIGESTS), 0.0)
        self.stager.on_staged_checked(
            staging_events.StagedPiecesChecked(2, frozenset()), 0.0
        )

    def collect(self, numbers, now_s):
        for number in numbers:
            self.stager.on_piece_collected(
                staging_events.PieceCollected(2, number), now_s
            )

    def test_engine_takes_requests_while_pieces_are_missing(self):
        self.collect(range(5), now_s=4.5)
        self.assertFalse(self.stager.is_quiet(4.5))
        self.collect([5], now_s=4.6)
        self.assertTrue(self.stager.is_quiet(4.6))

    def test_only_one_piece_is_in_flight_on_a_slow_link(self):
        """Two pieces would delay requests from entries to the engine for longer."""
        slow_s = (
            staging.SLOW_PIECE_FACTOR * staging.MAX_CONCURRENT_PIECES * PIECE_S + 0.1
        )
        self.assertEqual({0, 1}, self.stager.target.in_flight_numbers)
        self.collect([0], now_s=slow_s)
        self.assertEqual({1}, self.stager.target.in_flight_numbers)
        self.collect([1], now_s=slow_s)
        self.assertEqual({2}, self.stager.target.in_flight_numbers)
        self.collect([2], now_s=slow_s + PIECE_S)
        self.assertEqual({3, 4}, self.stager.target.in_flight_numbers)

    def test_pieces_that_cannot_be_had_are_not_all_requested_at_once(self):
        for number in range(4):
            failed = staging_events.EffectFailed(2, number)
            self.stager.on_effect_failed(failed, 0.1 * number)
            in_flight = self.stager.target.in_flight_numbers
            self.assertEqual(staging.MAX_CONCURRENT_PIECES, len(in_flight))

    def test_a_piece_that_cannot_be_had_keeps_none_of_the_others_waiting(self):
        for number in (0, 1):
            failed = staging_events.EffectFailed(2, number)
            self.stager.on_effect_failed(failed, 0.1)
        self.stager.on_effect_failed(staging_events.EffectFailed(2, 2), 1.0)
        self.assertEqual({3, 4}, self.stager.target.in_flight_numbers)

    def test_the_turn_of_an_engine_that_waits_for_it_comes(self):
        """The order stays where it was while time passes after the last piece."""
        stager = staging.Stager(PROFILE, PIECE_S)
        engine = FakeEngine(stager)
        engine.run(engine.report())
        engine.orders.clear()
        engine.version, engine.staged = 1, dict.fromkeys(range(6), 2)
        timing = switch_turns.SwitchTiming(7.3, turn=0.5, max_spread_s=9.0)
        engine.run(stager.on_version_named(2, timing, 0.0))
        self.assertAlmostEqual(3.5, stager.estimate_order_delay_s(0.0))
        self.assertAlmostEqual(1.5, stager.estimate_order_delay_s(2.0))
        engine.now_s = 3.4
        engine.run([])
        self.assertEqual([], engine.orders)
        engine.now_s = 3.6
        engine.run([])
        self.assertEqual([2], engine.orders)

    def test_estimated_order_delay_covers_the_missing_pieces(self):
        self.assertEqual(6 * PIECE_S, self.stager.estimate_order_delay_s(4.5))
        self.collect(range(4), now_s=4.5)
        self.assertAlmostEqual(2 * PIECE_S, self.stager.estimate_order_delay_s(4.5))

    def test_entries_learn_when_an_empty_engine_can_take_requests(self):
        stager = staging.Stager(PROFILE, PIECE_S)
        FakeEngine(stager).report()
        self.assertIsNone(stager.estimate_load_delay_s(0.0))
        stager.on_digests_read(staging_events.DigestsRead(1, DIGESTS), 0.0)
        held = staging_events.StagedPiecesChecked(1, frozenset(range(2)))
        stager.on_staged_checked(held, 0.0)
        self.assertEqual(1, stager.coming_version)
        self.assertAlmostEqual(
            4 * PIECE_S + PROFILE.warmup_s, stager.estimate_load_delay_s(0.0)
        )
        stager.on_effect_failed(staging_events.EffectFailed(1, 2), 0.1)
        self.assertIsNone(stager.estimate_load_delay_s(0.1))

    def test_an_engine_that_has_loaded_its_version_is_not_coming(self):
        stager = staging.Stager(PROFILE, PIECE_S)
        engine = FakeEngine(stager)
        engine.run(engine.report())
        engine.report()
        self.assertEqual(0, stager.coming_version)
        self.assertIsNone(stager.estimate_load_delay_s(0.0))

    def test_engines_that_have_their_pieces_late_do_not_switch_at_once(self):
        """The turns share what is left of the time, not what was planned."""
        for turn in (0.0, 0.5):
            stager = staging.Stager(PROFILE, PIECE_S)
            engine = FakeEngine(stager)
            engine.run(engine.report())
            timing = switch_turns.SwitchTiming(7.3, turn, max_spread_s=9.0)
            stager.on_version_named(2, timing, 0.0)
            stager.on_digests_read(staging_events.DigestsRead(2, DIGESTS), 0.0)
            held = staging_events.StagedPiecesChecked(2, frozenset(range(5)))
            stager.on_staged_checked(held, 0.0)
            stager.on_piece_collected(staging_events.PieceCollected(2, 5), 6.0)
            expected_s = turn * (7.3 - PROFILE.warmup_s - 6.0)
            self.assertAlmostEqual(expected_s, stager.estimate_order_delay_s(6.0))


class UnavailableVersionTest(testtools.TestCase):
    """The origin goes away right after a second version is named."""

    HELD_OF_FIRST = 1

    def setUp(self):
        super().setUp()
        self.available = {2: set(range(6)), 3: {0, 1, 4}}
        self.name_versions(7.2, 8.4)

    def name_versions(self, older_due_s, newer_due_s):
        """Name version 2 at 0 s and version 3 at 2 s."""
        self.stager = staging.Stager(PROFILE, PIECE_S)
        self.engine = FakeEngine(self.stager)
        self.engine.run(self.engine.report())
        self.engine.orders.clear()
        first = switch_turns.SwitchTiming(older_due_s)
        effects = self.stager.on_version_named(2, first, 0.0)
        for _ in range(2 + self.HELD_OF_FIRST):
            effects += self.engine.execute(effects.pop(0))
        self.engine.now_s = 2.0
        second = switch_turns.SwitchTiming(newer_due_s)
        self.pending = effects + self.stager.on_version_named(3, second, 2.0)

    def play(self, until_s):
        """Execute effects, a piece each ``PIECE_S``; fail those of missing pieces."""
        while self.engine.now_s < until_s:
            effects, self.pending = self.pending, []
            for effect in effects:
                self.pending += self.execute(effect)
            self.engine.now_s += 0.05
            self.pending += self.engine.report()

    def execute(self, effect):
        if not isinstance(effect, staging_events.CollectPiece):
            return self.engine.execute(effect)
        if effect.number in self.available[effect.version]:
            self.engine.now_s += PIECE_S
            return self.engine.execute(effect)
        failed = staging_events.EffectFailed(effect.version, effect.number)
        return self.stager.on_effect_failed(failed, self.engine.now_s)

    def test_the_older_version_is_loaded_while_the_newer_one_is_unavailable(self):
        self.play(until_s=9.0)
        self.assertEqual([2], self.engine.orders)

    def test_pieces_are_collected_past_those_that_are_unavailable(self):
        self.play(until_s=9.0)
        self.assertEqual(3, self.stager.target.version)
        self.assertEqual({0, 1, 4}, self.stager.target.held_numbers)

    def test_a_version_that_cannot_be_had_takes_no_room_from_the_other(self):
        self.stager.on_digests_read(staging_events.DigestsRead(3, DIGESTS), 2.0)
        older, newer = self.stager.target, self.stager.next_target
        older.in_flight_numbers.clear()
        self.stager.on_effect_failed(staging_events.EffectFailed(3, 0), 2.1)
        self.stager.on_effect_failed(staging_events.EffectFailed(3, 1), 2.1)
        self.stager.on_tick(2.1)
        self.assertEqual(2, len(older.in_flight_numbers))
        self.assertEqual(1, len(newer.in_flight_numbers))

    def test_the_newer_version_is_loaded_once_it_is_available_again(self):
        self.play(until_s=9.0)
        self.available[3] = set(range(6))
        self.play(until_s=15.0)
        self.assertEqual([2, 3], self.engine.orders)

    def test_the_older_version_is_not_loaded_if_the_newer_one_is_whole_in_time(self):
        self.HELD_OF_FIRST = 0
        self.name_versions(9.6, 10.4)
        self.available[3] = set(range(6))
        self.play(until_s=10.0)
        self.assertEqual([3], self.engine.orders)

    def test_the_older_version_is_loaded_if_the_newer_one_would_leave_a_gap(self):
        """Two pieces of version 2 on their way make version 3 late for 7.2 s."""
        self.available[3] = set(range(6))
        self.play(until_s=12.0)
        self.assertEqual([2, 3], self.engine.orders)

    def test_the_order_is_decided_again_when_pieces_are_available_again(self):
        """At 2 s, version 3 alone would have been loaded when version 2 is due."""
        self.HELD_OF_FIRST = 3
        self.name_versions(7.6, 8.5)
        self.available = {2: set(), 3: set()}
        self.play(until_s=3.4)
        self.available = {2: set(range(6)), 3: set(range(6))}
        self.play(until_s=12.0)
        self.assertEqual([2, 3], self.engine.orders)

    def test_a_third_version_leaves_the_second_as_the_one_to_fall_back_to(self):
        self.available[3] = set(range(6))
        self.available[4] = set()
        third = switch_turns.SwitchTiming(10.0)
        self.pending += self.stager.on_version_named(4, third, 2.5)
        self.play(until_s=12.0)
        self.assertEqual([3], self.engine.orders)
