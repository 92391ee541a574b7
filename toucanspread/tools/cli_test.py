import contextlib
import io
import json
import pathlib
import tempfile
from unittest import mock

import msgspec
import testtools

from toucanspread.core import data
from toucanspread.tools import cli, client

INTENTS = """
intents:
  - service: reservas
    kind: plain
    replicas: 3
    floor: 2
    zones: [heredia-a]
"""
PLAN = {
    "plan_id": "p1",
    "base_revision": 4,
    "steps": [
        {
            "stage": 1,
            "kind": "serve",
            "instance_id": "heredia-a-endpoint-1",
            "service": "reservas",
        }
    ],
    "expected_s": 3.0,
}


class CliCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.directory = pathlib.Path(scratch.name)

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return path

    def run_command(self, command, *arguments, **options):
        """Return the exit code and what was printed."""
        shown = io.StringIO()
        with contextlib.redirect_stdout(shown), contextlib.redirect_stderr(shown):
            try:
                command(*arguments, **options)
            except SystemExit as ended:
                return ended.code, shown.getvalue()
        return 0, shown.getvalue()


class DaemonSettingsTest(CliCase):
    def test_every_fault_of_the_settings_is_shown(self):
        path = self.write("entry.yaml", "instance_id: a\nzone: b\naddress: 1.2.3.4\n")
        code, shown = self.run_command(cli.entry, path)
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("address: '1.2.3.4': allowed: ip:port", shown)
        self.assertIn("region: missing", shown)

    def test_a_file_that_is_not_there(self):
        code, shown = self.run_command(cli.endpoint, self.directory / "none.yaml")
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("cannot be read", shown)


class PlanTest(CliCase):
    def plan(self, text=INTENTS, **post):
        path = self.write("intents.yaml", text)
        with mock.patch.object(client, "post", **post) as posted:
            found = self.run_command(cli.plan, path, entry="127.0.0.1:1")
        return found, posted

    def test_a_plan_is_shown_and_saved_with_what_it_was_made_from(self):
        (code, shown), _ = self.plan(return_value={"plan": PLAN})
        self.assertEqual(0, code)
        self.assertIn("heredia-a-endpoint-1", shown)
        saved = json.loads((self.directory / "intents.plan.json").read_text())
        self.assertEqual(("p1", 4), (saved["plan_id"], saved["base_revision"]))
        self.assertEqual("reservas", saved["intents"][0]["service"])

    def test_bad_intents_never_leave_the_machine(self):
        text = INTENTS.replace("floor: 2", "floor: 9").replace("3", "many")
        (code, shown), posted = self.plan(text)
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("intents[0].replicas", shown)
        posted.assert_not_called()

    def test_a_refused_plan_shows_why(self):
        answer = {"plan": PLAN, "problems": ["the floor is 2"]}
        error = client.EntryError("status 422", 422, answer)
        (code, shown), _ = self.plan(side_effect=error)
        self.assertEqual(cli.EXIT_REFUSED, code)
        self.assertIn("problem: the floor is 2", shown)


class ConfirmTest(CliCase):
    def confirm(self, **post):
        path = self.write("intents.plan.json", "{}")
        with mock.patch.object(client, "post", **post):
            return self.run_command(cli.confirm, path, entry="127.0.0.1:1")

    def test_accepted(self):
        answer = {"verdict": "accepted", "revision": 5}
        self.assertEqual(
            (0, "accepted at revision 5\n"), self.confirm(return_value=answer)
        )

    def test_a_conflict_shows_what_changed_and_a_fresh_plan(self):
        answer = {
            "verdict": "conflict",
            "revision": 5,
            "changed": ["reservas: replicas 3 -> 4"],
            "plan": PLAN,
        }
        error = client.EntryError("status 409", 409, answer)
        code, shown = self.confirm(side_effect=error)
        self.assertEqual(cli.EXIT_REFUSED, code)
        self.assertIn("changed: reservas: replicas 3 -> 4", shown)
        self.assertIn("plan p1 from revision 4", shown)

    def test_an_outage_says_when_to_come_back(self):
        answer = {"verdict": "not accepted", "revision": 4, "retry_after_s": 5.0}
        error = client.EntryError("status 503", 503, answer)
        code, shown = self.confirm(side_effect=error)
        self.assertEqual(cli.EXIT_UNAVAILABLE, code)
        self.assertIn("come back in 5 s", shown)


class DiffTest(CliCase):
    def diff(self, accepted):
        path = self.write("intents.yaml", INTENTS)
        answer = {"revision": 4, "intents": accepted}
        with mock.patch.object(client, "get", return_value=answer):
            return self.run_command(cli.diff, path, entry="127.0.0.1:1")

    def test_no_difference(self):
        intent = data.Intent("reservas", data.ServiceKind.PLAIN, 3, 2, ("heredia-a",))
        accepted = json.loads(msgspec.json.encode(intent))
        self.assertEqual(0, self.diff([accepted])[0])

    def test_a_difference_exits_one(self):
        code, shown = self.diff([])
        self.assertEqual(1, code)
        self.assertIn("+ reservas: not accepted yet", shown)
