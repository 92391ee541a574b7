import pathlib

import testtools

from toucanspread.core import data
from toucanspread.core.agreement import intents

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
FULL = """
intents:
  - service: pool
    model: roster
    version: 2026-12-01
    manifest: {hash}
    replicas: 2
    floor: 1
    zones: [brest-a]
    teams: {{parents: 1, directors: 3}}
    departures:
      - instance: engine-3
        window_start: 2026-12-05T02:00:00Z
        window_end: 2026-12-05T04:00:00+01:00
removed: [old]
"""


class IntentsTest(testtools.TestCase):
    def test_example_files_are_valid(self):
        for name, services in (
            ("bautizos", {"redactor": 7, "reservas": 3, "parroquias": 1}),
            ("rosteret", {"toucan-pool": 6, "shift-desk": 3, "nursery-office": 1}),
        ):
            parsed = intents.parse((EXAMPLES / f"{name}.yaml").read_text())
            replicas = {intent.service: intent.replicas for intent in parsed.intents}
            self.assertEqual(services, replicas)

    def test_all_fields_are_read(self):
        parsed = intents.parse(FULL.format(hash="a" * 64))
        intent = parsed.intents[0]
        self.assertEqual(("old",), parsed.removed)
        self.assertEqual("2026-12-01", intent.version)
        self.assertEqual(
            (data.Departure("engine-3", 1_796_436_000.0, 1_796_439_600.0),),
            intent.departures,
        )
        self.assertEqual([], intents.validate(intent))

    def test_all_errors_are_reported_together(self):
        text = FULL.format(hash="xyz").replace("floor: 1", "floor: 5\n    flor: 1")
        error = self.assertRaises(ExceptionGroup, intents.parse, text + "removal: 3")
        error_paths = {each.where for each in error.exceptions}
        expected = {"file", "intents[0]", "intents[0].floor", "intents[0].manifest"}
        self.assertEqual(expected, error_paths)

    def test_malformed_yaml_and_duplicate_keys_are_refused(self):
        for text in ("intents: [", "intents: []\nintents: []", "3", "? [a]\n: b"):
            self.assertRaises(ExceptionGroup, intents.parse, text)
