import testtools

from standins import gate_fakes
from toucanspread.core import data, effects, events
from toucanspread.core.gate import claim_table, claims, dispatch_events

PLAIN = data.ServiceKind.PLAIN
KEY = "deposit-7"
UNKNOWN = data.KvStatus.UNKNOWN


def call(rig, request_id="r1", **fields):
    return rig.dispatch(request_id, repeatable=False, idempotency_key=KEY, **fields)


def answered(effect, status):
    return events.KvAnswered(effect.operation_id, status, effect.key)


class ClaimCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.kv = gate_fakes.FakeKeyValue()
        self.rig = gate_fakes.Rig(PLAIN)

    def settle(self, rig, found):
        """Let the key-value service answer until something else happens."""
        while len(found) == 1 and gate_fakes.is_key_value(found[0]):
            found = rig.step(self.kv.carry_out(found[0]))
        return found

    def win(self, rig, request_id="r1"):
        return self.settle(rig, call(rig, request_id))

    def write_of(self, rig):
        """Return the write of a claim, not yet carried out."""
        (read,) = call(rig)
        (write,) = rig.step(self.kv.carry_out(read))
        return write

    def claimed(self):
        tables = [claim_table.decode(value) for value, _ in self.kv.values.values()]
        return [call for table in tables for call in table]


class ClaimTest(ClaimCase):
    def test_a_call_runs_once_its_claim_is_won(self):
        (start,) = self.win(self.rig)
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_repeat_at_another_process_is_a_duplicate(self):
        self.win(self.rig)
        other = gate_fakes.Rig(PLAIN, "endpoint-2")
        (end,) = self.win(other, "r2")
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_restarted_process_does_not_run_it_again(self):
        self.win(self.rig)
        (end,) = self.win(gate_fakes.Rig(PLAIN, incarnation=2), "r2")
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_of_two_at_once_one_runs(self):
        other = gate_fakes.Rig(PLAIN, "endpoint-2")
        first, second = self.write_of(self.rig), self.write_of(other)
        (start,) = self.settle(self.rig, [first])
        (end,) = self.settle(other, [second])
        self.assertIsInstance(start, dispatch_events.StartRun)
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_table_full_of_live_claims_takes_no_more(self):
        write = self.write_of(self.rig)
        table = {
            str(number): claim_table.StoredClaim("o", 10**12)
            for number in range(claim_table.MAX_CLAIMS_PER_TABLE)
        }
        self.kv.values[write.key] = (claim_table.encode(table), 5)
        (end,) = self.settle(self.rig, [write])
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)

    def test_an_expired_claim_is_dropped_by_the_next_write(self):
        write = self.write_of(self.rig)
        table = {"old": claim_table.StoredClaim("o", 0)}
        self.kv.values[write.key] = (claim_table.encode(table), 5)
        self.settle(self.rig, [write])
        self.assertEqual([claim_table.call_name(KEY)], self.claimed())


class LostAnswerTest(ClaimCase):
    def test_a_write_that_landed_is_found_by_reading_back(self):
        write = self.write_of(self.rig)
        self.kv.carry_out(write)
        (start,) = self.settle(self.rig, self.rig.step(answered(write, UNKNOWN)))
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_write_that_did_not_land_is_repeated(self):
        write = self.write_of(self.rig)
        (start,) = self.settle(self.rig, self.rig.step(answered(write, UNKNOWN)))
        self.assertIsInstance(start, dispatch_events.StartRun)

    def test_a_write_that_did_not_land_loses_to_another(self):
        write = self.write_of(self.rig)
        other = gate_fakes.Rig(PLAIN, "endpoint-2")
        self.win(other, "r2")
        (end,) = self.settle(self.rig, self.rig.step(answered(write, UNKNOWN)))
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_claim_that_lands_late_never_runs_and_is_withdrawn(self):
        write = self.write_of(self.rig)
        read, end = self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.assertEqual([], self.rig.step(self.kv.carry_out(write)))
        self.settle(self.rig, [read])
        self.assertEqual([], self.claimed())
        self.assertEqual({}, self.rig.node.claims.withdrawals)

    def test_a_claim_decided_after_a_pause_never_runs(self):
        write = self.write_of(self.rig)
        done = self.kv.carry_out(write)
        (end,) = self.rig.step(done, claims.CLAIM_TIMEOUT_S)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)

    def test_a_claim_decided_after_a_suspension_never_runs(self):
        write = self.write_of(self.rig)
        done = self.kv.carry_out(write)
        self.rig.node.wall_s += claims.CLAIM_LIFETIME_S
        found = self.rig.machine.step(self.rig.now_s, done)
        self.assertEqual(
            [], [x for x in found if isinstance(x, dispatch_events.StartRun)]
        )

    def test_a_withdrawn_claim_can_no_longer_land(self):
        write = self.write_of(self.rig)
        read, _ = self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.settle(self.rig, [read])
        self.assertEqual({}, self.rig.node.claims.withdrawals)
        self.kv.carry_out(write)
        self.assertEqual([], self.claimed())


class DownTest(ClaimCase):
    def check_unavailable(self, end):
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)
        self.assertGreaterEqual(end.end.retry_after_s, claims.UNAVAILABLE_S)

    def test_a_service_that_is_down_is_answered_at_once(self):
        (read,) = call(self.rig)
        (end,) = self.rig.step(answered(read, UNKNOWN))
        self.check_unavailable(end)
        self.assertEqual({}, self.rig.node.claims.withdrawals)

    def test_while_down_no_claim_waits(self):
        (read,) = call(self.rig)
        self.rig.step(answered(read, UNKNOWN))
        (end,) = call(self.rig, "r2", stream=2)
        self.check_unavailable(end)

    def test_one_claim_tries_whether_the_service_is_back(self):
        (read,) = call(self.rig)
        self.rig.step(answered(read, UNKNOWN))
        self.rig.now_s += claims.UNAVAILABLE_S
        (read,) = call(self.rig, "r2", stream=2)
        (end,) = self.rig.dispatch("r3", stream=3, repeatable=False)
        self.check_unavailable(end)
        (start,) = self.settle(self.rig, [read])
        self.assertIsInstance(start, dispatch_events.StartRun)
        (read,) = self.rig.dispatch("r4", stream=4, repeatable=False)
        self.assertIsInstance(read, effects.KvRead)


class UseTest(ClaimCase):
    def test_a_claim_whose_call_did_not_run_is_withdrawn(self):
        self.win(self.rig)
        (end,) = self.rig.end(ok=False, started=False)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.settle(self.rig, self.rig.step(events.Tick()))
        self.assertEqual([], self.claimed())

    def test_a_repeat_at_the_same_process_gets_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (replay,) = call(self.rig, "r2", stream=2)
        self.assertIsInstance(replay, dispatch_events.ReplayAnswer)
        self.assertEqual(("r1", 1), replay.kept_key)

    def test_another_team_does_not_get_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (end,) = call(self.rig, "r2", stream=2, team="another")
        self.assertIsInstance(end, dispatch_events.RefuseDispatch)
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)

    def test_old_calls_are_forgotten(self):
        self.win(self.rig)
        self.rig.end()
        self.rig.step(events.Tick(), claims.CLAIM_LIFETIME_S)
        self.assertEqual({}, self.rig.node.claims.calls)

    def test_a_caller_who_leaves_before_the_claim_is_won_runs_nothing(self):
        write = self.write_of(self.rig)
        self.rig.step(dispatch_events.DispatchCancelled("r1", 1, 1))
        (end,) = self.rig.step(self.kv.carry_out(write))
        self.assertEqual(data.Reason.CANCELLED, end.end.reason)
