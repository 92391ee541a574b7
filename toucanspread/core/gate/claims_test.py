import testtools

from standins import gate_harness
from toucanspread.core import data, effects, events
from toucanspread.core.gate import claim_table, claims, dispatch_events

PLAIN = data.ServiceKind.PLAIN
KEY = "deposit-7"
UNKNOWN = data.KvStatus.UNKNOWN


def dispatch_call(rig, request_id="r1", **fields):
    return rig.dispatch(request_id, repeatable=False, idempotency_key=KEY, **fields)


def make_answer(effect, status):
    return events.KvAnswered(effect.operation_id, status, effect.key)


class ClaimCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.kv = gate_harness.FakeKeyValue()
        self.rig = gate_harness.GateHarness(PLAIN)

    def answer_calls(self, rig, outputs):
        """Answer key-value calls until there is another effect or none."""
        while len(outputs) == 1 and gate_harness.is_key_value_call(outputs[0]):
            outputs = rig.step(self.kv.carry_out(outputs[0]))
        return outputs

    def win(self, rig, request_id="r1"):
        return self.answer_calls(rig, dispatch_call(rig, request_id))

    def start_claim(self, rig):
        """Start a claim and return its write, which is not yet applied."""
        (read,) = dispatch_call(rig)
        (write,) = rig.step(self.kv.carry_out(read))
        return write

    def claimed_calls(self):
        tables = [claim_table.decode(value) for value, _ in self.kv.values.values()]
        return [call for table in tables for call in table]


class ClaimTest(ClaimCase):
    def test_a_call_runs_once_its_claim_is_won(self):
        (start,) = self.win(self.rig)
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_repeat_at_another_process_is_a_duplicate(self):
        self.win(self.rig)
        other = gate_harness.GateHarness(PLAIN, "endpoint-2")
        (end,) = self.win(other, "r2")
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_restarted_process_does_not_run_a_call_again(self):
        self.win(self.rig)
        (end,) = self.win(gate_harness.GateHarness(PLAIN, incarnation=2), "r2")
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_only_one_of_two_concurrent_claims_wins(self):
        other = gate_harness.GateHarness(PLAIN, "endpoint-2")
        first, second = self.start_claim(self.rig), self.start_claim(other)
        (start,) = self.answer_calls(self.rig, [first])
        (end,) = self.answer_calls(other, [second])
        self.assertIsInstance(start, dispatch_events.StartRun)
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_table_full_of_valid_claims_accepts_no_more(self):
        write = self.start_claim(self.rig)
        table = {
            str(number): claim_table.StoredClaim("o", 10**12)
            for number in range(claim_table.MAX_CLAIMS_PER_TABLE)
        }
        self.kv.values[write.key] = (claim_table.encode(table), 5)
        (end,) = self.answer_calls(self.rig, [write])
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)

    def test_an_expired_claim_is_dropped_by_the_next_write(self):
        write = self.start_claim(self.rig)
        table = {"old": claim_table.StoredClaim("o", 0)}
        self.kv.values[write.key] = (claim_table.encode(table), 5)
        self.answer_calls(self.rig, [write])
        self.assertEqual([claim_table.make_call_name(KEY)], self.claimed_calls())


class LostAnswerTest(ClaimCase):
    def test_a_write_that_was_applied_is_found_by_reading_the_table(self):
        write = self.start_claim(self.rig)
        self.kv.carry_out(write)
        (start,) = self.answer_calls(
            self.rig, self.rig.step(make_answer(write, UNKNOWN))
        )
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_write_that_was_not_applied_is_repeated(self):
        write = self.start_claim(self.rig)
        (start,) = self.answer_calls(
            self.rig, self.rig.step(make_answer(write, UNKNOWN))
        )
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_write_that_was_not_applied_loses_to_another_claim(self):
        write = self.start_claim(self.rig)
        other = gate_harness.GateHarness(PLAIN, "endpoint-2")
        self.win(other, "r2")
        (end,) = self.answer_calls(self.rig, self.rig.step(make_answer(write, UNKNOWN)))
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_claim_that_is_applied_late_never_runs_and_is_withdrawn(self):
        write = self.start_claim(self.rig)
        read, end = self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.assertEqual([], self.rig.step(self.kv.carry_out(write)))
        self.answer_calls(self.rig, [read])
        self.assertEqual([], self.claimed_calls())
        self.assertEqual({}, self.rig.node.claims.withdrawals)

    def test_a_claim_decided_after_its_timeout_never_runs(self):
        write = self.start_claim(self.rig)
        done = self.kv.carry_out(write)
        (end,) = self.rig.step(done, claims.CLAIM_TIMEOUT_S)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)

    def test_a_claim_decided_after_a_suspension_never_runs(self):
        write = self.start_claim(self.rig)
        done = self.kv.carry_out(write)
        self.rig.node.wall_s += claims.CLAIM_LIFETIME_S
        outputs = self.rig.machine.step(self.rig.now_s, done)
        self.assertEqual(
            [], [each for each in outputs if isinstance(each, dispatch_events.StartRun)]
        )

    def test_a_withdrawn_claim_can_no_longer_be_applied(self):
        write = self.start_claim(self.rig)
        read, _ = self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.answer_calls(self.rig, [read])
        self.assertEqual({}, self.rig.node.claims.withdrawals)
        self.kv.carry_out(write)
        self.assertEqual([], self.claimed_calls())


class UnavailableTest(ClaimCase):
    def check_unavailable(self, end):
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)
        self.assertGreaterEqual(end.end.retry_after_s, claims.UNAVAILABLE_S)

    def test_a_claim_is_refused_at_once_if_the_service_does_not_answer(self):
        (read,) = dispatch_call(self.rig)
        (end,) = self.rig.step(make_answer(read, UNKNOWN))
        self.check_unavailable(end)
        self.assertEqual({}, self.rig.node.claims.withdrawals)

    def test_later_claims_are_refused_at_once_while_the_service_is_unavailable(self):
        (read,) = dispatch_call(self.rig)
        self.rig.step(make_answer(read, UNKNOWN))
        (end,) = dispatch_call(self.rig, "r2", stream=2)
        self.check_unavailable(end)

    def test_one_claim_at_a_time_tries_the_service_again(self):
        (read,) = dispatch_call(self.rig)
        self.rig.step(make_answer(read, UNKNOWN))
        self.rig.now_s += claims.UNAVAILABLE_S
        (read,) = dispatch_call(self.rig, "r2", stream=2)
        (end,) = self.rig.dispatch("r3", stream=3, repeatable=False)
        self.check_unavailable(end)
        (start,) = self.answer_calls(self.rig, [read])
        self.assertIsInstance(start, dispatch_events.StartRun)
        (read,) = self.rig.dispatch("r4", stream=4, repeatable=False)
        self.assertIsInstance(read, effects.KvRead)


class FinishedClaimTest(ClaimCase):
    def test_a_claim_whose_call_did_not_run_is_withdrawn(self):
        self.win(self.rig)
        (end,) = self.rig.end(ok=False, started=False)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.answer_calls(self.rig, self.rig.step(events.Tick()))
        self.assertEqual([], self.claimed_calls())

    def test_a_repeat_at_the_same_process_gets_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (replay,) = dispatch_call(self.rig, "r2", stream=2)
        self.assertIsInstance(replay, dispatch_events.ReplayAnswer)
        self.assertEqual(("r1", 1), replay.kept_key)

    def test_another_team_does_not_get_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (end,) = dispatch_call(self.rig, "r2", stream=2, team="another")
        self.assertIsInstance(end, dispatch_events.RefuseDispatch)
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)

    def test_old_calls_are_dropped(self):
        self.win(self.rig)
        self.rig.end()
        self.rig.step(events.Tick(), claims.CLAIM_LIFETIME_S)
        self.assertEqual({}, self.rig.node.claims.calls)

    def test_a_dispatch_cancelled_before_its_claim_is_won_never_runs(self):
        write = self.start_claim(self.rig)
        self.rig.step(dispatch_events.DispatchCancelled("r1", 1, 1))
        (end,) = self.rig.step(self.kv.carry_out(write))
        self.assertEqual(data.Reason.CANCELLED, end.end.reason)
