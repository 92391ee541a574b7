"""Tests that an engine that says in an answer that it leaves gets nothing new."""

import msgspec

from toucanspread.core.entry import (
    decisions,
    engine_backoff_test,
    engine_obstacles,
    engine_statement,
    engines,
    forwarding_test,
)

LEAVING = engine_statement.EngineStatement(is_leaving=True)


class LeavingTest(engine_backoff_test.BackoffCase):
    def leave(self, name, now_s=0.0):
        self.get(name).apply_statement(LEAVING, now_s, now_s)

    def test_a_leaving_engine_gets_nothing_new_from_its_first_answer_on(self):
        request, effects = self.send(0.0)
        name = effects[0].engine_id
        request.on_engine_head(self.fixture.at(0.1), LEAVING)
        for now_s in (0.1, 1.0, 100.0):
            self.assertNotIn(name, self.list_engines(now_s))

    def test_an_answer_without_the_word_does_not_take_it_back(self):
        self.leave("a")
        self.get("a").apply_statement(engine_statement.EngineStatement(), 0.5, 0.6)
        self.assertEqual({"b"}, self.list_engines(1.0))

    def test_a_stream_at_a_leaving_engine_goes_on(self):
        request, effects = self.send(0.0)
        request.on_engine_head(self.fixture.at(0.1), LEAVING)
        request.on_stream_opened()
        request.on_events(0.2, "1")
        effects = request.on_answer(self.fixture.at(1.0), 200)
        self.assertEqual([decisions.CloseStream], [type(e) for e in effects])

    def test_a_broken_stream_resumes_elsewhere(self):
        request, effects = self.send(0.0)
        name = effects[0].engine_id
        other = ({"a", "b"} - {name}).pop()
        request.on_stream_opened()
        request.on_events(0.2, "1")
        self.leave(other)
        broken = decisions.DispatchFailure.BROKEN
        effects = request.on_failure(self.fixture.at(0.4), broken)
        self.assertEqual([decisions.BreakStream], [type(e) for e in effects])

    def test_an_assigned_request_is_not_sent_to_a_leaving_engine(self):
        self.leave("a")
        self.assertTrue(engine_obstacles.forbids_dispatch(self.get("a"), 0.1))

    def test_a_newer_record_of_a_ready_engine_does_not_take_the_word_back(self):
        self.leave("a")
        self.fixture.registry.put(forwarding_test.make_entry("a"))
        self.assertEqual({"b"}, self.list_engines(1.0))

    def test_a_record_that_expires_and_comes_back_does_not_take_the_word_back(self):
        self.leave("a")
        self.fixture.registry.remove("a", 0.5)
        self.fixture.registry.drop_removed(8.0)
        self.fixture.registry.put(forwarding_test.make_entry("a"))
        self.assertEqual({"b"}, self.list_engines(9.0))

    def test_a_new_incarnation_does_not_leave(self):
        self.leave("a")
        entry = msgspec.structs.replace(forwarding_test.make_entry("a"), born_ms=1)
        self.fixture.registry.put(entry)
        self.assertIn("a", self.list_engines(1.0))

    def test_the_memory_of_engines_that_have_left_is_bounded(self):
        registry = self.fixture.registry
        for number in range(engines.MAX_LEFT_COUNT + 5):
            name = f"left-{number}"
            registry.put(forwarding_test.make_entry(name))
            self.leave(name)
            registry.remove(name, 0.0)
            registry.drop_removed(8.0)
        registry.put(forwarding_test.make_entry("left-0"))
        registry.put(forwarding_test.make_entry(f"left-{engines.MAX_LEFT_COUNT}"))
        self.assertFalse(self.get("left-0").says_leaving)
        self.assertTrue(self.get(f"left-{engines.MAX_LEFT_COUNT}").says_leaving)

    def test_an_engine_that_breaks_off_as_it_said_is_no_crash(self):
        self.leave("a")
        self.assertTrue(self.get("a").is_leaving())
