"""The whole path as separate processes, with one of each kind killed under load."""

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
            findings = run.run()
        self.assertEqual([], findings.problems)
        for service in ("pool", "desk"):
            self.assertTrue(findings.outcomes[service]["done"] > 0)
