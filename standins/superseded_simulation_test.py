"""A version whose successor cannot be had is not given up."""

import asyncio

import testtools

from standins import superseded_simulation
from toucanspread.ops import loop


class SupersededSimulationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(loop, "spawn", asyncio.ensure_future)

    def simulate(self, *outage):
        return superseded_simulation.simulate(
            superseded_simulation.Outage(*outage) if outage else None
        )

    def test_the_older_version_is_loaded_in_time_after_an_outage_of_the_origin(self):
        """Entries dropped version 2, so no engine had it before its successor."""
        loaded_s = self.simulate(20.5, 26.5).list_loaded_s(2)
        self.assertEqual(superseded_simulation.ENGINE_COUNT, len(loaded_s))
        self.assertLess(loaded_s[-1], 31.4)

    def test_the_origin_sends_each_piece_about_once_after_its_return(self):
        """Requests for all pieces at once timed out and were repeated: 3.6 copies."""
        self.assertLess(self.simulate(20.5, 26.5).count_copies(), 2.2)

    def test_both_versions_are_loaded_in_time_without_an_outage(self):
        simulation = self.simulate()
        self.assertLess(simulation.list_loaded_s(3)[-1], 33.4)
        self.assertLess(simulation.count_copies(), 2.1)
