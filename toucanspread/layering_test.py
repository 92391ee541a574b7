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

# Packages of the core, each with those that it may import beside itself and the
# shared ground (data, events, effects, machine and what they need).
CORE_PACKAGES = {
    "gate": set(),
    "membership": {"gate"},
    "transfers": {"gate"},
    "requests": set(),
    "agreement": {"gate", "membership"},
    "view": set(),
    "entry": {"view"},
    "weights": {"entry"},
}
# Puts the parts of every package together into one machine a role.
ASSEMBLY = "roles"


def core_packages(path):
    """Return the packages of the core that a module imports."""
    found = set()
    for name in imported(path):
        parts = name.split(".")
        if parts[:2] == ["toucanspread", "core"] and parts[2] in CORE_PACKAGES:
            found.add(parts[2])
    return found


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

    def test_packages_of_the_core_keep_their_order(self):
        for package, below in CORE_PACKAGES.items():
            for path in modules(PACKAGE / "core" / package):
                self.assertEqual(
                    set(), core_packages(path) - below - {package}, path.name
                )

    def test_the_shared_ground_imports_no_package(self):
        for path in (PACKAGE / "core").glob("*.py"):
            if path.stem == ASSEMBLY or path.name.endswith("_test.py"):
                continue
            self.assertEqual(set(), core_packages(path), path.name)

    def test_every_package_of_the_core_has_its_place(self):
        found = {path.parent.name for path in (PACKAGE / "core").glob("*/__init__.py")}
        self.assertEqual(set(CORE_PACKAGES), found)

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
