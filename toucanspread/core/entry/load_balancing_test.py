"""What callers get of the choice of engines, played without a network."""

import random

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines, load_balancing

PROFILE = entry_data.ModelProfile(
    data.ModelName("m"), 4, 8, 1024, 0.3, read_per_s=19_100.0, pass_s=0.045
)
SERVICE = entry_data.Service(data.ServiceName("pool"), PROFILE)
DRAIN_S = 2.0
ZONES = ("z1", "z2", "z3")
REGIONS = {data.ZoneName(zone): data.RegionName(zone) for zone in ZONES}
LAYERS = (entry_data.LoadedLayers(PROFILE.model, 1, 0, 4),)


def make_roster(per_zone=3):
    roster = engines.EngineRegistry(DRAIN_S)
    for zone in ZONES:
        for number in range(per_zone):
            roster.put(
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
    return roster


class PlacingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.source = random.Random(3)
        self.place = load_balancing.EntryLocation(data.ZoneName("z1"), REGIONS, 6)
        self.registry = make_roster()

    def choose(self, now_s=0.0, **ask):
        wanted = load_balancing.EngineRequirements(SERVICE, **ask)
        found = load_balancing.choose_engine(
            self.registry, wanted, self.place, now_s, self.source
        )
        return None if found is None else found.entry.engine_id

    def test_prompts_that_come_together_do_not_meet_on_an_engine(self):
        """The load of a calm day: 7 requests a second for each engine.

        An engine is done with a prompt of 1,000 tokens after 75 ms at the earliest.
        Chosen at random, a fifth of the prompts would wait 300 ms or more.
        """
        waits_s = []
        now_s = 0.0
        for _ in range(2_000):
            now_s += self.source.expovariate(7.0 * 9)
            ask = load_balancing.EngineRequirements(SERVICE)
            chosen = load_balancing.choose_engine(
                self.registry, ask, self.place, now_s, self.source
            )
            waits_s.append(max(chosen.prefill_until_s - now_s, 0.0))
            tokens = int(self.source.expovariate(1 / 1_000))
            chosen.add_prompt(tokens, PROFILE, now_s)
        waits_s.sort()
        self.assertLess(waits_s[int(len(waits_s) * 0.95)], 0.1)

    def test_an_engine_close_by_wins_among_equals(self):
        chosen = {self.choose() for _ in range(20)}
        self.assertEqual({"z1"}, {name.partition("-")[0] for name in chosen})

    def test_busy_engines_close_by_give_way_to_free_ones_far_away(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1":
                engine.add_prompt(8_000, PROFILE, 0.0)
        self.assertNotEqual("z1", self.choose().partition("-")[0])

    def test_a_leaving_engine_gets_nothing(self):
        for engine in list(self.registry.of_service(SERVICE.name)):
            if engine.entry.engine_id != "z2-0":
                self.registry.remove(engine.entry.engine_id, 0.0)
        self.assertEqual("z2-0", self.choose(now_s=0.1))
        self.assertEqual("z2-0", self.choose(now_s=10.0))

    def test_entries_that_lapsed_for_a_moment_are_used_when_none_is_left(self):
        for engine in list(self.registry.of_service(SERVICE.name)):
            self.registry.remove(engine.entry.engine_id, 0.0)
        self.assertIsNotNone(self.choose(now_s=1.0))
        self.assertIsNone(self.choose(now_s=DRAIN_S))

    def test_a_request_that_would_be_cut_goes_where_it_can_end(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1":
                load = entry_data.EngineLoad(
                    engine.entry.address, 0, 0, 0, 1, False, order_in_s=0.5
                )
                engine.apply_load(load, 0.0)
        self.assertNotEqual("z1", self.choose(likely_tokens=200).partition("-")[0])
        self.assertEqual("z1", self.choose(likely_tokens=10).partition("-")[0])

    def test_an_engine_that_failed_twice_is_passed_over_for_a_while(self):
        for engine in self.registry.of_service(SERVICE.name):
            if engine.entry.zone == "z1" and engine.entry.engine_id != "z1-0":
                engine.failed(0.0)
                self.assertTrue(engine.failed(0.0))
        self.assertEqual({"z1-0"}, {self.choose() for _ in range(20)})
        later = {self.choose(now_s=engines.AVOID_BACKOFF_MAX_S) for _ in range(50)}
        self.assertEqual({"z1-0", "z1-1", "z1-2"}, later)

    def test_an_engine_that_was_started_again_waits_for_its_new_entry(self):
        for engine in self.registry.of_service(SERVICE.name):
            restarted = entry_data.EngineLoad(engine.entry.address, 9, 0, 0, 0, False)
            self.registry.apply_load(restarted, 0.0)
        self.assertIsNone(self.choose())

    def test_an_engine_without_the_version_gets_nothing(self):
        self.assertIsNone(self.choose(minimum_version=2))
