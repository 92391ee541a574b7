import testtools

from standins import request_simulation
from toucanspread.core import data


class WorldTest(testtools.TestCase):
    def run_world(self, load):
        world = request_simulation.RequestSimulation(
            request_simulation.Setup(endpoints=3)
        )
        world.add_load(data.TeamName("a"), load * world.setup.capacity, 10.0)
        world.run_until(15.0)
        return world

    def test_every_request_ends_and_a_light_load_is_done(self):
        world = self.run_world(0.5)
        counts = request_simulation.count_outcomes(world)
        self.assertEqual({"done"}, set(counts))
        self.assertGreater(counts["done"], 80)

    def test_overload_is_refused_at_once_and_goodput_holds(self):
        world = self.run_world(3.0)
        counts = request_simulation.count_outcomes(world)
        self.assertNotIn("none", counts)
        self.assertGreater(counts["not run"], counts["done"])
        done, _ = world.count_on_time(0.0, 10.0)
        self.assertGreater(done, 0.8 * 10.0 * world.setup.capacity)
