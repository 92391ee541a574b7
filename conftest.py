"""Handles the known failing tests that KNOWN-RED.txt lists.

They run as expected failures and are printed; one that passes, or that does not exist,
is an error. ``pytest --known-red`` runs exactly these tests, as ordinary ones.
"""

import pathlib

import pytest

KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def pytest_addoption(parser):
    parser.addoption(
        "--known-red",
        action="store_true",
        help="run exactly the tests listed in KNOWN-RED.txt",
    )


def read_known_failures():
    """Return the test ids that KNOWN-RED.txt lists, one ``test: ID`` line each."""
    if not KNOWN_FAILURES_PATH.exists():
        return []
    lines = KNOWN_FAILURES_PATH.read_text().splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def pytest_collection_modifyitems(config, items):
    known = read_known_failures()
    check_listed_tests_exist(config, known, {item.nodeid for item in items})
    if config.getoption("--known-red"):
        others = [item for item in items if item.nodeid not in known]
        items[:] = [item for item in items if item.nodeid in known]
        config.hook.pytest_deselected(items=others)
        return
    for item in items:
        if item.nodeid in known:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def check_listed_tests_exist(config, known, collected):
    """Raise an error for a listed test that a collected file does not have."""
    files = {nodeid.partition("::")[0] for nodeid in collected}
    is_selection = any("::" in argument for argument in config.args)
    for nodeid in known:
        path = nodeid.partition("::")[0]
        is_missing = path in files and nodeid not in collected and not is_selection
        if is_missing or not (config.rootpath / path).exists():
            raise pytest.UsageError(f"KNOWN-RED.txt lists {nodeid}, which is no test")


def pytest_terminal_summary(terminalreporter):
    for name in read_known_failures():
        terminalreporter.write_line(f"known failing test: {name}")
