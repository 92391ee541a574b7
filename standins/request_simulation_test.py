import testtools

from standins import request_simulation
from toucanspread.core import data


class RequestSimulationTest(testtools.TestCase):
    def run_simulation(self, load):
        simulation = request_simulation.RequestSimulation(
            request_simulation.Setup(endpoints=3)
        )
        simulation.add_load(data.TeamName("a"), load * simulation.setup.capacity, 10.0)
        simulation.run_until(15.0)
        return simulation

    def test_every_request_is_done_under_a_light_load(self):
        simulation = self.run_simulation(0.5)
        counts = request_simulation.count_outcomes(simulation)
        self.assertEqual({"done"}, set(counts))
        self.assertGreater(counts["done"], 80)

    def test_overload_is_refused_and_goodput_stays(self):
        simulation = self.run_simulation(3.0)
        counts = request_simulation.count_outcomes(simulation)
        self.assertNotIn("none", counts)
        self.assertGreater(counts["not run"], counts["done"])
        done, _ = simulation.count_on_time(0.0, 10.0)
        self.assertGreater(done, 0.8 * 10.0 * simulation.setup.capacity)
