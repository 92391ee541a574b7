"""Tests what an entry concludes from hearing nothing of an engine."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines

OVERDUE_S = engines.LOAD_REPORT_MAX_AGE_S + 0.1


def make_registry(names=("a", "b")):
    registry = engines.EngineRegistry(2.0)
    for name in names:
        registry.put(
            entry_data.EngineEntry(
                name,
                data.ServiceName("pool"),
                data.Address(name),
                data.ZoneName("z1"),
                16,
                entry_data.EngineState.READY,
            )
        )
    return registry


def report(registry, name, now_s):
    load = entry_data.EngineLoad(data.Address(name), 0, 0, 0, 1, False)
    registry.apply_load(load, now_s)


class WrongIncarnationTest(testtools.TestCase):
    def report(self, born_ms):
        load = entry_data.EngineLoad(data.Address("a"), born_ms, 0, 0, 1, False)
        self.registry.apply_load(load, 0.0)

    def test_one_wrong_report_does_not_exclude_an_engine_for_good(self):
        self.registry = make_registry()
        self.report(9)
        self.assertTrue(self.registry.get("a").was_restarted)
        for _ in range(engines.RESTART_REFUTED_COUNT):
            self.report(0)
        self.assertFalse(self.registry.get("a").was_restarted)

    def test_late_reports_do_not_bring_an_engine_back_that_has_started_again(self):
        self.registry = make_registry()
        for _ in range(5):
            self.report(9)
            for _ in range(engines.RESTART_REFUTED_COUNT - 1):
                self.report(0)
        self.assertTrue(self.registry.get("a").was_restarted)


class SilentEngineTest(testtools.TestCase):
    def test_an_engine_whose_reports_end_is_silent_while_others_report(self):
        registry = make_registry()
        report(registry, "a", 0.0)
        report(registry, "b", OVERDUE_S)
        self.assertTrue(registry.get("a").is_silent(OVERDUE_S))
        self.assertFalse(registry.get("b").is_silent(OVERDUE_S))

    def test_no_engine_is_silent_to_an_entry_that_gets_no_reports_at_all(self):
        registry = make_registry()
        report(registry, "a", 0.0)
        report(registry, "b", 0.0)
        self.assertFalse(registry.get("a").is_silent(OVERDUE_S))

    def test_an_engine_that_answers_is_not_silent(self):
        registry = make_registry()
        report(registry, "a", 0.0)
        registry.get("a").record_answering(1.0)
        report(registry, "b", OVERDUE_S)
        self.assertFalse(registry.get("a").is_silent(OVERDUE_S))

    def test_an_engine_that_never_reported_is_not_silent(self):
        registry = make_registry()
        report(registry, "b", OVERDUE_S)
        self.assertFalse(registry.get("a").is_silent(OVERDUE_S))

    def test_a_silent_engine_with_an_unanswered_request_gets_no_further_one(self):
        registry = make_registry()
        report(registry, "a", 0.0)
        report(registry, "b", OVERDUE_S)
        engine = registry.get("a")
        self.assertFalse(engine.is_avoided(OVERDUE_S))
        engine.record_dispatch(OVERDUE_S)
        self.assertTrue(engine.is_avoided(OVERDUE_S))
