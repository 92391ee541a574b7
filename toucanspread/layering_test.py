"""The layers of the project, as its imports show them."""

import ast
import pathlib

import testtools

PACKAGE = pathlib.Path(__file__).parent
NEVER_IN_CORE = frozenset(
    {"asyncio", "grpc", "socket", "time", "twisted", "urllib", "http", "threading"}
)


def imported(path):
    """Return the dotted names that a module imports, anywhere in it."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def modules(folder):
    for path in sorted(folder.rglob("*.py")):
        if not path.name.endswith("_test.py"):
            yield path


# Names on the platform's wire, which its package alone translates.
PLATFORM_WORDS = (
    "/-/",
    "X-Attempt-Id",
    "X-Expect-",
    "X-Response-Seal",
    "api_keys",
    "kv-",
    "op/config",
    "op/version",
    "resume_streams",
    "servers/",
    "slo_ms",
    "tenant",
)


class LayeringTest(testtools.TestCase):
    def check_never(self, folder, forbidden):
        for path in modules(folder):
            roots = {name.partition(".")[0] for name in imported(path)}
            self.assertEqual(set(), roots & forbidden, path.name)

    def test_the_product_imports_no_stand_in(self):
        self.check_never(PACKAGE, {"standins", "benches", "scripts"})

    def test_decisions_know_no_clock_and_no_network(self):
        self.check_never(PACKAGE / "core", NEVER_IN_CORE)

    def test_only_the_platforms_package_knows_its_words(self):
        for package in ("core", "ops", "tools"):
            for path in modules(PACKAGE / package):
                text = path.read_text().lower()
                found = [word for word in PLATFORM_WORDS if word.lower() in text]
                self.assertEqual([], found, path.name)

    def test_nothing_imports_the_platforms_package(self):
        for package in ("core", "ops", "tools"):
            for path in modules(PACKAGE / package):
                for name in imported(path):
                    self.assertFalse(name.startswith("toucanspread.platform"))

    def test_decisions_import_nothing_that_runs_them(self):
        for path in modules(PACKAGE / "core"):
            for name in imported(path):
                self.assertFalse(name.startswith("toucanspread.ops"), path.name)
                self.assertFalse(name.startswith("toucanspread.tools"), path.name)
