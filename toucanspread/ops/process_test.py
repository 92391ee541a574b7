"""Tests of noticing changes of the settings file."""

import pathlib
import tempfile

import testtools

from toucanspread.ops import process


class SettingsFileWatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.json"
        self.path.write_text("{}")
        self.read = []

    def make_watcher(self, stamp):
        return process.SettingsFileWatcher(
            self.path, stamp, lambda: self.read.append(self.path.read_text())
        )

    def test_a_change_between_reading_the_file_and_watching_it_is_noticed(self):
        stamp = process.read_stamp(self.path)
        self.path.write_text("{'a': 1}")
        watcher = self.make_watcher(stamp)
        watcher.check()
        watcher.check()
        self.assertEqual(["{'a': 1}"], self.read)

    def test_an_unchanged_file_is_not_read_again(self):
        self.make_watcher(process.read_stamp(self.path)).check()
        self.assertEqual([], self.read)

    def test_a_file_that_is_missing_for_a_while_is_read_again(self):
        watcher = self.make_watcher(process.read_stamp(self.path))
        self.path.rename(self.path.with_suffix(".old"))
        self.assertRaises(FileNotFoundError, watcher.check)
        self.path.write_text("{}")
        watcher.check()
        self.assertEqual(["{}"], self.read)
