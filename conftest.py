"""Deselects the known failing tests listed in KNOWN-RED.txt, and prints them."""

import pathlib

KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def read_known_failures():
    """Return the test ids that KNOWN-RED.txt lists, one ``test: ID`` line each."""
    if not KNOWN_FAILURES_PATH.exists():
        return []
    test_ids = []
    for line in KNOWN_FAILURES_PATH.read_text().splitlines():
        if line.startswith("test: "):
            test_ids.append(line[len("test: ") :].strip())
    return test_ids


def pytest_collection_modifyitems(config, items):
    known = set(read_known_failures())
    deselected = [item for item in items if item.nodeid in known]
    if not deselected:
        return
    items[:] = [item for item in items if item.nodeid not in known]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter):
    for name in read_known_failures():
        terminalreporter.write_line(f"known failing test, deselected: {name}")
