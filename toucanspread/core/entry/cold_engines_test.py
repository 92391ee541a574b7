"""Tests that all entries together keep to what a cold engine bears."""

import bisect
import random

import msgspec
import testtools

from toucanspread.core import data
from toucanspread.core.entry import (
    cold_engines,
    decisions,
    engine_obstacles,
    engine_requirements,
    entry_directory,
    forwarding,
    forwarding_test,
)
from toucanspread.core.entry import data as entry_data

COLD_PER_S = 14.0
BOUND = cold_engines.ColdBound(factor=1.5, extra_count=5)
MAX_COUNT = 26  # requests in any second: 14 x 1.5 + 5
COLD_S = 3.0
STEP_S = 0.01
INTERVAL_S = 0.6
ZONE = forwarding_test.ZONE
SERVICE = msgspec.structs.replace(
    forwarding_test.SERVICE, cold_start_s=COLD_S, cold_per_s=COLD_PER_S
)


def make_record(number):
    name = f"entry-{number}"
    return entry_directory.EntryRecord(name, ZONE, "g", "a:1", "a:2", "a:3")


def make_senders(record, known, is_settled=True):
    return cold_engines.SenderSelector(record.name, BOUND, known, is_settled)


def count_most_in_a_second(times_s):
    """Return the most times that lie within one second."""
    times_s = sorted(times_s)
    return max(
        (
            bisect.bisect_right(times_s, first_s + 1.0) - number
            for number, first_s in enumerate(times_s)
        ),
        default=0,
    )


def simulate(selectors, random_source, cold_per_s=COLD_PER_S):
    """Return when a cold engine gets requests while each entry always has some.

    Entries learn of the engine at different times, and requests are on their way for
    different times, as on links that hold bytes.
    """
    arrivals_s = []
    for selector in selectors:
        if not selector.is_sender("engine", ZONE, cold_per_s):
            continue
        cold_start = cold_engines.ColdStart()
        now_s = random_source.uniform(0.0, 0.5)
        while now_s < COLD_S:
            if cold_start.wait_s(now_s) == 0:
                interval_s = selector.compute_interval_s(cold_per_s)
                cold_start.record_dispatch(interval_s, now_s)
                arrivals_s.append(now_s + random_source.uniform(0.0, 0.05))
            now_s += STEP_S * random_source.random()
    return arrivals_s


class SenderTest(testtools.TestCase):
    def test_entries_with_different_lists_keep_to_the_bound(self):
        """Guards against a herd on a zone that comes back cold."""
        for seed in range(60):
            random_source = random.Random(seed)
            count = random_source.choice((2, 7, 18, 62, 350))
            records = [make_record(number) for number in range(count)]
            missing_part = random_source.choice((0.0, 0.1, 0.3))
            selectors = []
            for record in records:
                known = [
                    each
                    for each in records
                    if each is record or random_source.random() >= missing_part
                ]
                selectors.append(make_senders(record, known))
            most = count_most_in_a_second(simulate(selectors, random_source))
            self.assertLessEqual(most, MAX_COUNT, (seed, count, missing_part))

    def test_entries_that_all_restart_and_know_nobody_keep_to_the_bound(self):
        """Guards against a herd after a loss of power, when lists are incomplete."""
        for count in (18, 62, 350):
            records = [make_record(number) for number in range(count)]
            selectors = [make_senders(each, [each], False) for each in records]
            arrivals_s = simulate(selectors, random.Random(count))
            self.assertLessEqual(count_most_in_a_second(arrivals_s), MAX_COUNT, count)

    def test_most_of_what_the_engine_bears_is_used(self):
        records = [make_record(number) for number in range(62)]
        selectors = [make_senders(each, records) for each in records]
        arrivals_s = simulate(selectors, random.Random(1))
        self.assertGreater(len(arrivals_s), 0.8 * COLD_PER_S * (COLD_S - 0.5))

    def test_an_engine_that_bears_less_than_one_request_a_second_gets_few(self):
        records = [make_record(number) for number in range(18)]
        selectors = [make_senders(each, records) for each in records]
        arrivals_s = simulate(selectors, random.Random(1), cold_per_s=0.5)
        self.assertLessEqual(len(arrivals_s), 2)

    def test_an_entry_counts_as_settled_only_after_its_own_record_is_listed(self):
        directory = entry_directory.EntryDirectory()
        senders = cold_engines.KnownSenders("entry-0", BOUND, directory)
        before = senders.select(0.0)
        directory.put(make_record(0))
        listed = senders.select(1.0)
        self.assertIsNot(before, listed)
        self.assertIs(listed, senders.select(1.0 + 0.9 * cold_engines.SETTLE_S))
        settled = senders.select(1.0 + cold_engines.SETTLE_S)
        self.assertTrue(settled.is_sender("engine", ZONE, COLD_PER_S))

    def test_an_entry_that_finds_the_record_of_its_earlier_process_is_settled(self):
        """Guards against seconds without service after all entries have restarted."""
        directory = entry_directory.EntryDirectory()
        senders = cold_engines.KnownSenders("entry-0", BOUND, directory)
        senders.record_predecessor()
        directory.put(make_record(0))
        self.assertTrue(senders.select(0.0).is_sender("engine", ZONE, COLD_PER_S))


class ColdObstacleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = forwarding_test.Fixture(names=("a",))
        self.engine = self.fixture.registry.get("a")
        self.location = engine_requirements.EntryLocation(
            ZONE,
            {ZONE: data.RegionName("g")},
            1,
            make_senders(make_record(0), [make_record(0)]),
        )

    def find(self, now_s):
        requirements = engine_requirements.EngineRequirements(SERVICE)
        choice = engine_obstacles.Choice(requirements, self.location, now_s)
        return engine_obstacles.find(self.engine, choice)

    def restart(self, now_s, cold_left_s=COLD_S):
        entry = msgspec.structs.replace(
            forwarding_test.make_entry("a"), born_ms=5, cold_left_s=cold_left_s
        )
        self.fixture.registry.put(entry, now_s)
        self.engine = self.fixture.registry.get("a")

    def test_a_cold_engine_is_paced_until_its_cold_time_ends(self):
        self.restart(10.0)
        self.assertIsNone(self.find(10.0))
        self.engine.cold_start.record_dispatch(INTERVAL_S, 10.0)
        self.assertIs(engine_obstacles.Cause.COLD, self.find(10.1).cause)
        self.assertIsNone(self.find(10.0 + COLD_S))

    def test_an_engine_that_becomes_cold_again_is_paced(self):
        self.restart(10.0)
        self.restart(20.0, cold_left_s=2.0)
        self.engine.cold_start.record_dispatch(INTERVAL_S, 20.0)
        self.assertIs(engine_obstacles.Cause.COLD, self.find(20.1).cause)

    def test_the_engines_of_a_zone_that_is_taken_back_count_as_cold(self):
        """Guards against a herd on engines that restarted during an evacuation."""
        self.fixture.registry.evacuations.begin(ZONE)
        self.assertIs(engine_obstacles.Cause.EVACUATED, self.find(5.0).cause)
        self.fixture.registry.evacuations.end(ZONE, 6.0)
        self.engine.cold_start.record_dispatch(INTERVAL_S, 6.0)
        self.assertIs(engine_obstacles.Cause.COLD, self.find(6.1).cause)
        self.assertIsNone(self.find(6.0 + COLD_S))

    def test_a_request_that_waited_for_a_connection_is_not_sent_to_a_cold_engine(self):
        self.restart(10.0)
        late_s = 10.5 + cold_engines.MAX_ASSIGNED_AGE_S
        forbids = engine_obstacles.forbids_dispatch
        self.assertFalse(forbids(self.engine, 10.6, SERVICE, 10.5))
        self.assertTrue(forbids(self.engine, late_s + 0.1, SERVICE, 10.5))

    def test_without_a_declared_rate_no_engine_is_paced(self):
        self.restart(10.0)
        requirements = engine_requirements.EngineRequirements(forwarding_test.SERVICE)
        choice = engine_obstacles.Choice(requirements, self.location, 10.1)
        self.engine.cold_start.record_dispatch(INTERVAL_S, 10.0)
        self.assertIsNone(engine_obstacles.find(self.engine, choice))

    def start_behind(self, queued_count):
        """Return what becomes of a request behind others that wait."""
        call = entry_data.Call("id", "h", "/p/x", None, 5.0)
        route = forwarding_test.make_route()
        request = forwarding.RequestState(route, SERVICE, call, 10.0)
        context = self.fixture.at(10.0)._replace(location=self.location)
        queued_prefill_s = queued_count * request.timing.prefill_s
        return request.start(context, queued_prefill_s)[0]

    def test_a_request_beyond_what_cold_engines_bear_is_refused_at_once(self):
        """Guards against requests that wait in vain for their turn."""
        self.restart(9.8)
        self.engine.cold_start.record_dispatch(INTERVAL_S, 9.8)
        self.assertIsInstance(self.start_behind(1), decisions.Enqueue)
        rejected = self.start_behind(5)
        self.assertIs(decisions.FailureCause.ENGINES_COLD, rejected.cause)
        self.assertGreater(rejected.retry_after_s, 0.0)
