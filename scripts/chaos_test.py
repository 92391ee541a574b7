"""Tests the request path as separate processes, of which some are killed under load."""

import pathlib
import tempfile

import chaos
import testtools


class ChaosTest(testtools.TestCase):
    def test_killed_processes_leave_no_wrong_answer(self):
        with tempfile.TemporaryDirectory() as scratch:
            run = chaos.ChaosRun(
                chaos.SMALL_DEPLOYMENT,
                pathlib.Path(scratch) / "run",
                seed=1,
                faults=["kill entry", "kill endpoint"],
            )
            result = run.run()
        self.assertEqual([], result.problems)
        for service in ("pool", "desk"):
            self.assertTrue(result.outcomes[service]["done"] > 0)
