"""Tests the choice of engines by its effect on callers, without a network."""

import random

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engine_requirements, engines, load_balancing

PROFILE = entry_data.ModelProfile(
    data.ModelName("m"), 4, 8, 1024, 0.3, read_per_s=19_100.0, pass_s=0.045
)
SERVICE = entry_data.Service(data.ServiceName("pool"), PROFILE)
DRAIN_S = 2.0
ZONES = ("z1", "z2", "z3")
REGIONS = {data.ZoneName(zone): data.RegionName(zone) for zone in ZONES}
LAYERS = (entry_data.LoadedLayers(PROFILE.model, 1, 0, 4),)


def make_registry(per_zone=3):
    registry = engines.EngineRegistry(DRAIN_S)
    for zone in ZONES:
        for number in range(per_zone):
            registry.put(
                entry_data.EngineEntry(
                    f"{zone}-{number}",
                    SERVICE.name,
                    data.Address(f"10.0.0.{number}:{len(zone)}"),
                    data.ZoneName(zone),
                    16,
                    entry_data.EngineState.READY,
                    loaded=LAYERS,
                )
            )
    return registry


class LoadBalancingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.random_source = random.Random(3)
        self.location = engine_requirements.EntryLocation(
            data.ZoneName("z1"), REGIONS, 6
        )
        self.registry = make_registry()

    def choose(self, now_s=0.0, **options):
        requirements = engine_requirements.EngineRequirements(SERVICE, **options)
        chosen = load_balancing.choose_engine(
            self.registry, requirements, self.location, now_s, self.random_source
        )
        return None if chosen is None else chosen.entry.engine_id

    def test_concurrent_prompts_are_spread_over_engines(self):
        """Moderate load: 7 requests per second and engine.

        An engine needs at least 75 ms for a prompt of 1,000 tokens. With a random
        choice, a fifth of the prompts would wait 300 ms or more.
        """
        waits_s = []
        now_s = 0.0
        for _ in range(2_000):
            now_s += self.random_source.expovariate(7.0 * 9)
            requirements = engine_requirements.EngineRequirements(SERVICE)
            chosen = load_balancing.choose_engine(
                self.registry, requirements, self.location, now_s, self.random_source
            )
            waits_s.append(max(chosen.prefill_until_s - now_s, 0.0))
            tokens = int(self.random_source.expovariate(1 / 1_000))
            chosen.add_prompt(tokens, PROFILE, now_s)
        waits_s.sort()
        self.assertLess(waits_s[int(len(waits_s) * 0.95)], 0.1)

    def test_entries_with_the_same_reports_do_not_all_choose_the_engine_that_is_free(
        self,
    ):
        for engine in self.registry.of_service(SERVICE.name):
            active = 0 if engine.entry.engine_id == "z2-0" else 16
            load = entry_data.EngineLoad(
                engine.entry.address, engine.entry.born_ms, active, 0, 1, False
            )
            engine.apply_load(load, 0.0)
        choices = [self.choose(rate_per_s=10.0, prefill_s=0.07) for _ in range(400)]
        self.assertLess(choices.count("z2-0"), len(choices) / 2)
        self.assertGreater(choices.count("z2-0"), 0)

    def test_an_engine_of_the_same_zone_is_preferred_among_equals(self):
        chosen = {self.choose() for _ in range(20)}
        self.assertEqual({"z1"}, {name.partition("-")[0] for name in chosen})

    def test_free_engines_of_other_zones_are_preferred_to_busy_ones_of_the_zone(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1":
                engine.add_prompt(8_000, PROFILE, 0.0)
        self.assertNotEqual("z1", self.choose().partition("-")[0])

    def test_a_request_does_not_wait_behind_weights_while_another_engine_is_near(self):
        for engine in self.registry.of_service(SERVICE.name):
            delay_s = 0.0 if engine.entry.engine_id == "z2-0" else 0.6
            load = entry_data.EngineLoad(
                engine.entry.address, 0, 0, 0, 1, False, link_delay_s=delay_s
            )
            engine.apply_load(load, 0.0)
        self.assertEqual({"z2-0"}, {self.choose() for _ in range(20)})

    def test_an_idle_engine_that_is_slow_is_no_choice_beside_a_normal_one(self):
        """Guards against first events that come late from engines slow by turns."""
        for engine in self.registry.of_service(SERVICE.name):
            pace = 1.0 if engine.entry.engine_id == "z1-0" else 2.5
            load = entry_data.EngineLoad(
                engine.entry.address, 0, 0, 0, 1, False, pace=pace
            )
            engine.apply_load(load, 0.0)
        chosen = {self.choose(now_s=0.1, prefill_s=0.07) for _ in range(20)}
        self.assertEqual({"z1-0"}, chosen)

    def test_a_removed_engine_gets_no_requests(self):
        for engine in list(self.registry.of_service(SERVICE.name)):
            if engine.entry.engine_id != "z2-0":
                self.registry.remove(engine.entry.engine_id, 0.0)
        self.assertEqual("z2-0", self.choose(now_s=0.1))
        self.assertEqual("z2-0", self.choose(now_s=10.0))

    def test_engines_with_expired_entries_are_used_if_no_other_is_left(self):
        for engine in list(self.registry.of_service(SERVICE.name)):
            self.registry.remove(engine.entry.engine_id, 0.0)
        self.assertIsNotNone(self.choose(now_s=1.0))
        self.assertIsNone(self.choose(now_s=DRAIN_S))

    def test_a_request_avoids_engines_that_would_interrupt_it(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1":
                load = entry_data.EngineLoad(
                    engine.entry.address, 0, 0, 0, 1, False, order_in_s=0.5
                )
                engine.apply_load(load, 0.0)
        self.assertNotEqual("z1", self.choose(likely_tokens=200).partition("-")[0])
        self.assertEqual("z1", self.choose(likely_tokens=10).partition("-")[0])

    def test_an_engine_that_is_ordered_between_two_reports_gets_no_requests(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1":
                load = entry_data.EngineLoad(
                    engine.entry.address, 0, 0, 0, 1, False, order_in_s=0.2
                )
                engine.apply_load(load, 0.0)
        chosen = {self.choose(likely_tokens=0, now_s=0.1) for _ in range(20)}
        self.assertNotIn("z1", {name.partition("-")[0] for name in chosen})

    def test_an_engine_that_failed_twice_is_avoided_for_a_while(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1" and engine.entry.engine_id != "z1-0":
                engine.record_failure(0.0)
                self.assertTrue(engine.record_failure(0.0))
        self.assertEqual({"z1-0"}, {self.choose() for _ in range(20)})
        later = {self.choose(now_s=engines.AVOID_BACKOFF_MAX_S) for _ in range(50)}
        self.assertEqual({"z1-0", "z1-1", "z1-2"}, later)

    def test_a_restarted_engine_is_not_used_before_its_new_entry(self):
        for engine in self.registry.of_service(SERVICE.name):
            restarted = entry_data.EngineLoad(engine.entry.address, 9, 0, 0, 0, False)
            self.registry.apply_load(restarted, 0.0)
        self.assertIsNone(self.choose())

    def test_an_engine_without_the_version_gets_no_requests(self):
        self.assertIsNone(self.choose(minimum_version=2))

    def test_an_engine_that_would_begin_on_weights_too_old_gets_no_requests(self):
        upcoming = (entry_data.DueVersion(2, 5.0),)
        for engine in self.registry.of_service(SERVICE.name):
            engine.add_prompt(19_100, PROFILE, now_s=4.0)
        self.assertIsNone(self.choose(4.0, upcoming_versions=upcoming))
        later = (entry_data.DueVersion(2, 5.5),)
        self.assertIsNotNone(self.choose(4.0, upcoming_versions=later))

    def test_the_prefill_counts_for_the_time_at_which_an_engine_begins(self):
        upcoming = (entry_data.DueVersion(2, 5.0),)
        self.assertIsNotNone(self.choose(4.5, upcoming_versions=upcoming))
        self.assertIsNone(self.choose(4.5, upcoming_versions=upcoming, prefill_s=0.5))
        self.assertIsNotNone(
            self.choose(4.5, upcoming_versions=upcoming[:0], prefill_s=0.5)
        )

    def test_the_time_that_a_link_holds_bytes_counts_for_when_an_engine_begins(self):
        upcoming = (entry_data.DueVersion(2, 5.0),)
        for engine in self.registry.of_service(SERVICE.name):
            load = entry_data.EngineLoad(
                engine.entry.address, 0, 0, 0, 1, False, link_delay_s=0.6
            )
            engine.apply_load(load, 4.0)
        self.assertIsNotNone(self.choose(4.2, upcoming_versions=upcoming))
        self.assertIsNone(self.choose(4.4, upcoming_versions=upcoming))

    def test_an_engine_without_reports_is_used_until_shortly_before_its_time(self):
        """A sidecar may be down; its engine's wait is then not known."""
        upcoming = (entry_data.DueVersion(2, 8.0),)
        self.location = self.location._replace(entry_count=350)
        for engine in self.registry.of_service(SERVICE.name):
            engine.record_dispatch(0.0)
        self.assertIsNotNone(self.choose(1.0, upcoming_versions=upcoming))
        self.assertIsNone(self.choose(7.99, upcoming_versions=upcoming))
