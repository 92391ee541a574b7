"""Golden sessions of an entry and of an endpoint process.

An operator confirms two versions, one of which loses an answer; the service fails and
is restored to an older state; an instance leaves before its window.
"""

import pathlib

import testtools

from standins import agreement_simulation, golden_files
from toucanspread.core import data, sessions
from toucanspread.core.agreement.agreement_test import (
    NEXT_MANIFEST,
    confirm_and_run,
    intent,
)

GOLDEN = pathlib.Path(__file__).parent / "golden"


def record_sessions():
    fleet = agreement_simulation.Fleet(seed=5)
    fleet.add("entry-0", data.Role.ENTRY, "brest-a", "finistere")
    for index in range(2):
        name = f"engine-{index}"
        fleet.add(name, data.Role.ENDPOINT, "brest-a", "finistere")
    recorders = {}
    for name in ("entry-0", "engine-0"):
        recorders[name] = sessions.Recorder(fleet.machines[name])
        fleet.machines[name] = recorders[name]
    fleet.run(2.0)
    confirm_and_run(fleet, intent(), operation="first", seconds=8.0)
    backup = fleet.kv.save()
    fleet.kv.lose_answers = 1
    confirm_and_run(
        fleet, intent(manifest=NEXT_MANIFEST), operation="second", seconds=5.0
    )
    fleet.kv.is_up = False
    confirm_and_run(fleet, intent(replicas=1), operation="down", seconds=3.0)
    fleet.kv.is_up = True
    fleet.kv.values = backup
    fleet.run(9.0)
    start_s = agreement_simulation.WALL_START_S + fleet.now_s + 100.0
    departure = data.Departure("engine-0", start_s, start_s + 600.0)
    leaving = intent(replicas=1, manifest=NEXT_MANIFEST, departures=(departure,))
    confirm_and_run(fleet, leaving, operation="leave", seconds=3.0)
    return recorders


class GoldenTest(testtools.TestCase):
    def test_sessions_match_the_golden_files(self):
        for name, recorder in record_sessions().items():
            path = GOLDEN / f"agreement_{name}.jsonl"
            self.assertEqual([], golden_files.compare_session(path, recorder.text()))
