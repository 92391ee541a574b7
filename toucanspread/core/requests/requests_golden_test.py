"""A whole session of an entry's requests, kept as a golden file."""

import pathlib

import testtools

from toucanspread.core import data, events, sessions
from toucanspread.core.requests import entry_selection, request_events, requests_test

GOLDEN = pathlib.Path(__file__).parent / "golden" / "requests_entry.jsonl"
MODEL = requests_test.MODEL
PLAIN = requests_test.PLAIN


class Session:
    """Plays a fixed session: answers, refusals, breaks, silence and a drain."""

    def __init__(self):
        self.recorder = sessions.Recorder(requests_test.make_entry(seed=7))
        self.now_s = 0.0

    def step(self, event, after_s=0.1):
        self.now_s = round(self.now_s + after_s, 6)
        return self.recorder.step(self.now_s, event)

    def arrive(self, name, service, **fields):
        wanted = requests_test.make_request(name, service, **fields)
        found = self.step(request_events.RequestReceived(wanted))
        return requests_test.dispatched(found).dispatch

    def end(self, dispatch, outcome, reason=data.Reason.NONE, **fields):
        request_id = dispatch.request.request_id
        told = data.AnswerEnd(request_id, dispatch.attempt, outcome, reason, **fields)
        found = self.step(request_events.AttemptEnded(told))
        sent = requests_test.dispatched(found)
        return sent.dispatch if sent else None

    def break_off(self, dispatch, reason, sent, **fields):
        request_id = dispatch.request.request_id
        broke = request_events.AttemptFailed(
            request_id, dispatch.attempt, reason, sent, **fields
        )
        found = self.step(broke)
        again = requests_test.dispatched(found)
        return again.dispatch if again else None

    def play(self):
        for name in ("p1", "p2", "p3"):
            self.step(events.ReportReceived(requests_test.make_report(name)))
        for name in ("r1", "r2"):
            self.step(events.ReportReceived(requests_test.make_report(name, PLAIN)))
        self.step(entry_selection.AddressesRequested("a1", "team", "redactor"))
        self.play_model()
        self.play_plain()
        silent = self.arrive("q6", MODEL)
        self.step(events.Tick(), after_s=20.0)
        self.end(silent, data.Outcome.DONE)
        self.step(events.ShutdownRequested())
        refused = requests_test.make_request("q7", MODEL)
        self.step(request_events.RequestReceived(refused))
        self.step(request_events.CallerDisconnected("q6"))
        self.step(events.Tick(), after_s=20.0)

    def play_model(self):
        load = data.Load(running=3, limit=8, service_time_s=0.4)
        first = self.arrive("q1", MODEL, prefix_hash=99)
        self.end(first, data.Outcome.DONE, payload_bytes=40, version="v1", load=load)
        second = self.arrive("q2", MODEL, prefix_hash=99)
        busy = data.Reason.OVERLOADED
        second = self.end(second, data.Outcome.NOT_RUN, busy, retry_after_s=2.5)
        self.end(second, data.Outcome.DONE, payload_bytes=40, version="v1")
        third = self.arrive("q3", MODEL)
        broke = data.Reason.STREAM_BROKE
        third = self.break_off(
            third, broke, True, payload_bytes=90, payload_events=3, version="v1"
        )
        self.end(third, data.Outcome.DONE, payload_bytes=30, version="v1")

    def play_plain(self):
        fourth = self.arrive("q4", PLAIN, idempotency_key="deposit-1")
        unreachable = data.Reason.UNREACHABLE
        fourth = self.break_off(fourth, unreachable, False)
        self.end(fourth, data.Outcome.DONE, payload_bytes=9, status=201)
        fifth = self.arrive("q5", PLAIN, idempotency_key="deposit-2")
        self.break_off(fifth, data.Reason.STREAM_BROKE, True)


class RequestsGoldenTest(testtools.TestCase):
    def test_session_is_as_it_was(self):
        session = Session()
        session.play()
        text = session.recorder.text()
        self.assertEqual([], sessions.compare_golden(GOLDEN, text))
        fresh = requests_test.make_entry(seed=7)
        self.assertEqual([], sessions.replay(GOLDEN.read_text(), fresh))
