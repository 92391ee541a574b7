import contextlib
import io
import json
import pathlib
import sys
import tempfile
from unittest import mock

import msgspec
import testtools

from toucanspread.core import data
from toucanspread.core.transfers import manifest
from toucanspread.ops import weight_files
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


class CommandTestCase(testtools.TestCase):
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
        """Return the exit code and the output of a command."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            try:
                command(*arguments, **options)
            except SystemExit as exit_request:
                return exit_request.code, output.getvalue()
        return 0, output.getvalue()


class DaemonSettingsTest(CommandTestCase):
    def test_all_errors_of_a_settings_file_are_shown(self):
        path = self.write("entry.yaml", "instance_id: a\nzone: b\naddress: 1.2.3.4\n")
        code, output = self.run_command(cli.entry, path)
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("address: '1.2.3.4': must be ip:port", output)
        self.assertIn("region: required key is missing", output)

    def test_missing_settings_file(self):
        code, output = self.run_command(cli.endpoint, self.directory / "none.yaml")
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("cannot be read", output)


class PlanTest(CommandTestCase):
    def plan(self, text=INTENTS, **post):
        path = self.write("intents.yaml", text)
        with mock.patch.object(client, "post", **post) as posted:
            found = self.run_command(cli.plan, path, entry="127.0.0.1:1")
        return found, posted

    def test_plan_is_shown_and_saved_with_its_base_revision_and_intents(self):
        (code, output), _ = self.plan(return_value={"plan": PLAN})
        self.assertEqual(0, code)
        self.assertIn("heredia-a-endpoint-1", output)
        saved = json.loads((self.directory / "intents.plan.json").read_text())
        self.assertEqual(("p1", 4), (saved["plan_id"], saved["base_revision"]))
        self.assertEqual("reservas", saved["intents"][0]["service"])

    def test_invalid_intents_are_not_sent(self):
        text = INTENTS.replace("floor: 2", "floor: 9").replace("3", "many")
        (code, output), posted = self.plan(text)
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn("intents[0].replicas", output)
        posted.assert_not_called()

    def test_refused_plan_shows_its_problems(self):
        answer = {"plan": PLAN, "problems": ["the floor is 2"]}
        error = client.EntryError("status 422", 422, answer)
        (code, output), _ = self.plan(side_effect=error)
        self.assertEqual(cli.EXIT_REFUSED, code)
        self.assertIn("problem: the floor is 2", output)


class ConfirmTest(CommandTestCase):
    def confirm(self, **post):
        path = self.write("intents.plan.json", "{}")
        with mock.patch.object(client, "post", **post):
            return self.run_command(cli.confirm, path, entry="127.0.0.1:1")

    def test_accepted(self):
        answer = {"verdict": "accepted", "revision": 5}
        self.assertEqual(
            (0, "accepted at revision 5\n"), self.confirm(return_value=answer)
        )

    def test_conflict_shows_the_changes_and_a_new_plan(self):
        answer = {
            "verdict": "conflict",
            "revision": 5,
            "changed": ["reservas: replicas 3 -> 4"],
            "plan": PLAN,
        }
        error = client.EntryError("status 409", 409, answer)
        code, output = self.confirm(side_effect=error)
        self.assertEqual(cli.EXIT_REFUSED, code)
        self.assertIn("changed: reservas: replicas 3 -> 4", output)
        self.assertIn("plan p1 from revision 4", output)

    def test_outage_shows_when_to_retry(self):
        answer = {"verdict": "not accepted", "revision": 4, "retry_after_s": 5.0}
        error = client.EntryError("status 503", 503, answer)
        code, output = self.confirm(side_effect=error)
        self.assertEqual(cli.EXIT_UNAVAILABLE, code)
        self.assertIn("retry in 5 s", output)


class DiffTest(CommandTestCase):
    def diff(self, accepted):
        path = self.write("intents.yaml", INTENTS)
        answer = {"revision": 4, "intents": accepted}
        with mock.patch.object(client, "get", return_value=answer):
            return self.run_command(cli.diff, path, entry="127.0.0.1:1")

    def test_no_difference(self):
        intent = data.Intent("reservas", data.ServiceKind.PLAIN, 3, 2, ("heredia-a",))
        accepted = json.loads(msgspec.json.encode(intent))
        self.assertEqual(0, self.diff([accepted])[0])

    def test_difference_exits_with_one(self):
        code, output = self.diff([])
        self.assertEqual(1, code)
        self.assertIn("+ reservas: not accepted yet", output)


class ManifestTest(CommandTestCase):
    def setUp(self):
        super().setUp()
        self.weights = self.directory / "weights"
        weight_files.make_sample(self.weights, seed=1, size_bytes=64 * 1024)
        self.output = self.directory / "manifest.json"

    def run_command_line(self, *words):
        with mock.patch.object(sys, "argv", ["toucanspread", *words]):
            return self.run_command(cli.main)

    def build(self):
        return self.run_command_line(
            "manifest",
            str(self.weights),
            "--model=redactor",
            "--version=v1",
            f"--output={self.output}",
        )

    def test_manifest_describes_the_directory_and_has_the_printed_hash(self):
        code, output = self.build()
        self.assertEqual(0, code, output)
        written = manifest.decode(self.output.read_bytes())
        self.assertEqual(("redactor", "v1"), (written.model, written.version))
        paths = {p for p in self.weights.rglob("*") if p.is_file()}
        found = {self.weights / entry.path for entry in written.files}
        self.assertEqual(paths, found)
        expected = weight_files.build_manifest(self.weights, "redactor", "v1")
        self.assertEqual(expected, written)
        self.assertEqual(f"{manifest.hash_manifest(written)}\n", output)

    def test_truncated_weights_are_refused_and_no_manifest_is_written(self):
        shard = next(self.weights.glob("*.safetensors"))
        shard.write_bytes(shard.read_bytes()[:-1])
        code, output = self.build()
        self.assertEqual(cli.EXIT_USAGE, code)
        self.assertIn(shard.name, output)
        self.assertFalse(self.output.exists())
