import testtools

from standins import gate_fakes
from toucanspread.core import claims, data, effects, events, gate

PLAIN = data.ServiceKind.PLAIN
KEY = "deposit-7"


def call(rig, request_id="r1", **fields):
    return rig.dispatch(request_id, repeatable=False, idempotency_key=KEY, **fields)


def answered(effect, status):
    return events.KvAnswered(effect.operation_id, status, effect.key)


class ClaimTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.kv = gate_fakes.FakeKeyValue()
        self.rig = gate_fakes.Rig(PLAIN)

    def win(self, rig, request_id="r1"):
        (write,) = call(rig, request_id)
        return rig.step(self.kv.carry_out(write))

    def test_a_call_runs_once_its_claim_is_won(self):
        (start,) = self.win(self.rig)
        self.assertIsInstance(start, gate.StartRun)

    def test_a_repeat_at_another_process_is_a_duplicate(self):
        self.win(self.rig)
        other = gate_fakes.Rig(PLAIN, "endpoint-2")
        (write,) = call(other, "r2")
        (read,) = other.step(self.kv.carry_out(write))
        (end,) = other.step(self.kv.carry_out(read))
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)
        self.assertEqual(data.Reason.DUPLICATE, end.end.reason)

    def test_a_lost_answer_is_resolved_by_reading_back(self):
        (write,) = call(self.rig)
        self.kv.carry_out(write)
        (read,) = self.rig.step(answered(write, data.KvStatus.UNKNOWN))
        (start,) = self.rig.step(self.kv.carry_out(read))
        self.assertIsInstance(start, gate.StartRun)

    def test_a_service_that_is_down_is_answered_at_once(self):
        (write,) = call(self.rig)
        (read,) = self.rig.step(answered(write, data.KvStatus.UNKNOWN))
        (end,) = self.rig.step(answered(read, data.KvStatus.UNKNOWN))
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        self.assertEqual(claims.RETRY_AFTER_S, end.end.retry_after_s)

    def test_a_service_that_is_silent_is_given_up(self):
        call(self.rig)
        (end,) = self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.assertEqual(data.Reason.CLAIM_UNAVAILABLE, end.end.reason)

    def test_a_claim_that_lands_late_never_runs_and_is_removed(self):
        (write,) = call(self.rig)
        self.rig.step(events.Tick(), claims.CLAIM_TIMEOUT_S)
        self.assertEqual([], self.rig.step(self.kv.carry_out(write)))
        (read,) = self.rig.step(events.Tick(), claims.ORPHAN_DELAYS_S[0])
        (delete,) = self.rig.step(self.kv.carry_out(read))
        self.assertIsInstance(delete, effects.KvDelete)
        self.rig.step(self.kv.carry_out(delete))
        self.assertEqual({}, self.kv.values)
        self.assertEqual({}, self.rig.node.claims.orphans)

    def test_a_claim_whose_call_did_not_run_is_undone(self):
        self.win(self.rig)
        (end,) = self.rig.end(ok=False, started=False)
        self.assertEqual(data.Outcome.NOT_RUN, end.end.outcome)
        (read,) = self.rig.step(events.Tick())
        (delete,) = self.rig.step(self.kv.carry_out(read))
        self.rig.step(self.kv.carry_out(delete))
        self.assertEqual({}, self.kv.values)

    def test_a_repeat_at_the_same_process_gets_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (replay,) = call(self.rig, "r2", stream=2)
        self.assertIsInstance(replay, gate.ReplayAnswer)
        self.assertEqual(("r1", 1), replay.kept)

    def test_another_team_does_not_get_the_kept_answer(self):
        self.win(self.rig)
        self.rig.end()
        (end,) = call(self.rig, "r2", stream=2, team="another")
        self.assertIsInstance(end, gate.RefuseDispatch)
        self.assertEqual(data.Outcome.UNKNOWN, end.end.outcome)

    def test_an_old_claim_is_deleted(self):
        self.win(self.rig)
        self.rig.end()
        (delete,) = self.rig.step(events.Tick(), claims.KEEP_S)
        self.kv.carry_out(delete)
        self.assertEqual({}, self.kv.values)

    def test_a_caller_who_leaves_before_the_claim_is_won_runs_nothing(self):
        (write,) = call(self.rig)
        self.rig.step(gate.DispatchCancelled("r1", 1, 1))
        (end,) = self.rig.step(self.kv.carry_out(write))
        self.assertEqual(data.Reason.CANCELLED, end.end.reason)
