"""Checks how a test run treats the tests that KNOWN-RED.txt lists."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = "def test_bad():\n    assert 0\n\ndef test_good():\n    pass\n"


class KnownRedTest(testtools.TestCase):
    def run_tests(self, listed, *options):
        """Return the exit code and the output of a run with one listed test."""
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch)
            shutil.copy(ROOT / "conftest.py", directory)
            (directory / "sample_test.py").write_text(TESTS)
            (directory / "KNOWN-RED.txt").write_text(f"test: sample_test.py::{listed}")
            command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
            done = subprocess.run(
                [*command, "sample_test.py", *options],
                cwd=directory,
                capture_output=True,
                text=True,
            )
        return done.returncode, done.stdout + done.stderr

    def test_a_listed_test_that_fails_is_passed_over_and_printed(self):
        code, output = self.run_tests("test_bad")
        self.assertEqual(0, code, output)
        self.assertIn("known failing test: sample_test.py::test_bad", output)

    def test_a_listed_test_that_passes_is_an_error(self):
        code, output = self.run_tests(
            "test_good", "--deselect=sample_test.py::test_bad"
        )
        self.assertEqual(1, code, output)

    def test_a_listed_test_that_does_not_exist_is_an_error(self):
        code, output = self.run_tests(
            "test_none", "--deselect=sample_test.py::test_bad"
        )
        self.assertIn("which is no test", output)
        self.assertNotEqual(0, code)

    def test_an_option_runs_exactly_the_listed_tests(self):
        code, output = self.run_tests("test_bad", "--known-red")
        self.assertEqual(1, code, output)
        self.assertIn("1 failed, 1 deselected", output)
