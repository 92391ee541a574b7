"""Tests that answers show that an engine without load reports has not crashed."""

import testtools

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, engine_statement, forwarding_test

FINGERPRINT = entry_data.PromptPartId("request:f")
ROUTE = forwarding_test.make_route(entry_data.RequestKind.IDEMPOTENT, attempts=1)


class AliveAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = forwarding_test.Fixture(names=("a",))
        self.numbers = iter(range(1_000))

    def start(self, now_s, fingerprint=""):
        call = entry_data.Call(
            f"id-{next(self.numbers)}",
            "h",
            "/p/x",
            None,
            5.0,
            fingerprint=entry_data.PromptPartId(fingerprint),
        )
        request = self.fixture.make_request(ROUTE, call, now_s)
        request.start(self.fixture.at(now_s))
        return request

    def answer(self, sent_s, now_s, fingerprint=""):
        request = self.start(sent_s, fingerprint)
        statement = engine_statement.EngineStatement()
        request.on_engine_head(self.fixture.at(now_s), statement)
        request.on_answer(self.fixture.at(now_s), 200)

    def break_off(self, now_s):
        request = self.start(now_s, FINGERPRINT)
        request.on_failure(
            self.fixture.at(now_s + 0.01), decisions.DispatchFailure.BROKEN
        )

    def count_crashes(self):
        return len(self.fixture.guard.evidence.crashes_of_part(FINGERPRINT))

    def test_an_answer_to_a_later_request_shows_that_an_engine_has_not_crashed(self):
        self.break_off(0.0)
        self.assertEqual(1, self.count_crashes())
        self.answer(1.0, 1.05)
        self.assertEqual(0, self.count_crashes())

    def test_an_answer_to_an_earlier_request_does_not_show_it(self):
        earlier = self.start(0.0)
        self.break_off(0.1)
        statement = engine_statement.EngineStatement()
        earlier.on_engine_head(self.fixture.at(1.0), statement)
        self.assertEqual(1, self.count_crashes())

    def test_a_short_answer_that_its_engine_has_survived_is_sound(self):
        self.answer(0.0, 0.05, FINGERPRINT)
        self.answer(1.0, 1.05)
        self.break_off(2.0)
        self.assertEqual(0, self.count_crashes())

    def test_a_short_answer_just_before_a_crash_is_suspect(self):
        self.answer(0.0, 0.05, FINGERPRINT)
        self.break_off(0.1)
        self.assertEqual(1, self.count_crashes())
