"""Checks the layers of the project by the imports of its modules."""

import ast
import pathlib

import testtools

PACKAGE = pathlib.Path(__file__).parent
FORBIDDEN_IN_CORE = frozenset(
    {
        "asyncio",
        "grpc",
        "http",
        "os",
        "socket",
        "threading",
        "time",
        "twisted",
        "urllib",
    }
)


def imported_names(path):
    """Return the dotted names that a module imports, also inside functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def modules(folder):
    """Yield the modules of a folder and its subfolders, without tests."""
    for path in sorted(folder.rglob("*.py")):
        if not path.name.endswith("_test.py"):
            yield path


# Names of the platform's wire format; only its package translates them.
PLATFORM_NAMES = (
    "/-/",
    "X-Attempt-Id",
    "X-Expect-",
    "X-Response-Seal",
    "api_keys",
    "kv-",
    "op/config",
    "op/version",
    "resume_streams",
    "server-leaving",
    "server-limit",
    "servers/",
    "slo_ms",
    "tenant",
)

# Packages of the core, each with the packages that it may import besides itself and the
# shared modules (data, events, effects, machine and what they need).
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
# Builds one machine per role from the parts of all packages.
ASSEMBLY = "roles"


# The one module that may call the decoders of libraries, which fail in several ways.
DECODER = PACKAGE / "core" / "decoder.py"
LIBRARY_DECODERS = frozenset(
    {
        "json.JSONDecoder",
        "json.load",
        "json.loads",
        "msgspec.convert",
        "msgspec.json.Decoder",
        "msgspec.json.decode",
        "msgspec.msgpack.Decoder",
        "msgspec.msgpack.decode",
        "msgspec.toml.decode",
        "msgspec.yaml.decode",
        "pickle.load",
        "pickle.loads",
        "tomllib.load",
        "tomllib.loads",
        "yaml.load",
        "yaml.safe_load",
    }
)


def used_names(path):
    """Return the dotted names that a module uses or imports."""
    names = imported_names(path)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute):
            names.add(ast.unparse(node))
    return names


def imported_core_packages(path):
    """Return the packages of the core that a module imports."""
    packages = set()
    for name in imported_names(path):
        parts = name.split(".")
        if parts[:2] == ["toucanspread", "core"] and parts[2] in CORE_PACKAGES:
            packages.add(parts[2])
    return packages


class LayeringTest(testtools.TestCase):
    def check_not_imported(self, folder, forbidden):
        for path in modules(folder):
            roots = {name.partition(".")[0] for name in imported_names(path)}
            self.assertEqual(set(), roots & forbidden, path.name)

    def test_product_imports_no_stand_ins_benchmarks_or_scripts(self):
        self.check_not_imported(PACKAGE, {"standins", "benches", "scripts"})

    def test_core_imports_no_clock_network_or_threads(self):
        self.check_not_imported(PACKAGE / "core", FORBIDDEN_IN_CORE)

    def test_only_the_platform_package_uses_its_wire_names(self):
        for package in ("core", "ops", "tools"):
            for path in modules(PACKAGE / package):
                text = path.read_text().lower()
                used = [name for name in PLATFORM_NAMES if name.lower() in text]
                self.assertEqual([], used, path.name)

    def test_only_the_decoder_module_calls_decoders_of_libraries(self):
        for path in modules(PACKAGE):
            if path != DECODER:
                self.assertEqual(set(), used_names(path) & LIBRARY_DECODERS, path.name)

    def test_core_packages_import_only_lower_ones(self):
        for package, lower in CORE_PACKAGES.items():
            for path in modules(PACKAGE / "core" / package):
                self.assertEqual(
                    set(), imported_core_packages(path) - lower - {package}, path.name
                )

    def test_shared_modules_import_no_core_package(self):
        for path in (PACKAGE / "core").glob("*.py"):
            if path.stem == ASSEMBLY or path.name.endswith("_test.py"):
                continue
            self.assertEqual(set(), imported_core_packages(path), path.name)

    def test_every_core_package_is_listed(self):
        existing = {
            path.parent.name for path in (PACKAGE / "core").glob("*/__init__.py")
        }
        self.assertEqual(set(CORE_PACKAGES), existing)

    def test_nothing_imports_the_platform_package(self):
        for package in ("core", "ops", "tools"):
            for path in modules(PACKAGE / package):
                for name in imported_names(path):
                    self.assertFalse(name.startswith("toucanspread.platform"))

    def test_core_does_not_import_the_programs_that_run_it(self):
        for path in modules(PACKAGE / "core"):
            for name in imported_names(path):
                self.assertFalse(name.startswith("toucanspread.ops"), path.name)
                self.assertFalse(name.startswith("toucanspread.tools"), path.name)
