"""Engines switch to a version one after the other, within the time that is left."""

import testtools

from toucanspread.core import data
from toucanspread.core.weights import switch_turns

LOAD_S = 0.3
DUE_S = 7.2


def make_engines(zone_sizes):
    """Return the placements of engines in zones of these sizes."""
    return [
        switch_turns.EnginePlacement(
            data.Address(f"{zone}:{number}"), data.ZoneName(zone)
        )
        for zone, size in zone_sizes.items()
        for number in range(size)
    ]


def list_orders(engines, staged_s):
    """Return the zone and the time of each order, by time."""
    timings = [
        (engine.zone, switch_turns.plan_switch(engine, engines, DUE_S))
        for engine in engines
    ]
    orders = [(t.order_at_s(staged_s, LOAD_S), zone) for zone, t in timings]
    return sorted(orders)


class SwitchTurnsTest(testtools.TestCase):
    def test_no_two_engines_switch_at_the_same_time(self):
        for sizes in ({"z1": 1}, {"z1": 6, "z2": 6, "z3": 6}, {"z1": 5, "z2": 40}):
            engines = make_engines(sizes)
            times_s = [time_s for time_s, _ in list_orders(engines, 4.0)]
            spacing_s = min(
                (DUE_S - LOAD_S - 4.0) / len(engines),
                switch_turns.MAX_TURN_SPACING_S,
            )
            for earlier_s, later_s in zip(times_s, times_s[1:], strict=False):
                self.assertGreater(later_s - earlier_s, 0.99 * spacing_s)

    def test_the_zones_take_turns(self):
        orders = list_orders(make_engines({"z1": 3, "z2": 3, "z3": 3}), 4.0)
        self.assertEqual(["z1", "z2", "z3"] * 3, [zone for _, zone in orders])

    def test_a_small_zone_does_not_switch_before_the_others(self):
        """Each third of the time has its part of the engines of each zone."""
        for sizes in (
            {"z1": 5, "z2": 40},
            {"z1": 6, "z2": 6, "z3": 6},
            {"a": 3, "b": 9},
        ):
            orders = list_orders(make_engines(sizes), 4.0)
            third_s = (DUE_S - LOAD_S - 4.0) / 3
            for zone, size in sizes.items():
                counts = [0, 0, 0]
                for time_s, order_zone in orders:
                    if order_zone == zone:
                        counts[int((time_s - 4.0 + 1e-9) / third_s)] += 1
                self.assertLessEqual(max(counts) - size / 3, 1, (zone, counts))

    def test_the_last_engine_has_loaded_before_the_deadline(self):
        orders = list_orders(make_engines({"z1": 23, "z2": 23, "z3": 23}), 4.0)
        self.assertGreaterEqual(orders[0][0], 4.0)
        self.assertLess(orders[-1][0] + LOAD_S, DUE_S)

    def test_pieces_that_come_after_the_deadline_are_loaded_at_once(self):
        for time_s, _ in list_orders(make_engines({"z1": 5}), 20.0):
            self.assertEqual(20.0, time_s)

    def test_two_engines_with_fast_links_do_not_wait_for_the_deadline(self):
        orders = list_orders(make_engines({"z1": 2}), 0.5)
        self.assertLessEqual(orders[-1][0], 0.5 + switch_turns.MAX_TURN_SPACING_S)

    def test_an_engine_that_no_other_knows_has_a_turn(self):
        own = switch_turns.EnginePlacement(data.Address("z9:1"), data.ZoneName("z9"))
        timing = switch_turns.plan_switch(own, make_engines({"z1": 2}), DUE_S)
        self.assertLess(timing.turn, 1.0)
