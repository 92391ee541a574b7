"""Compares recorded sessions with their golden files, for tests of the core."""

import os
import pathlib

UPDATE_VARIABLE = "UPDATE_GOLDEN"  # set to 1 to rewrite golden files


def compare_session(path: pathlib.Path, text: str) -> list[str]:
    """Return the lines in which a session differs from its golden file.

    If the environment variable ``UPDATE_GOLDEN`` is 1, the file is rewritten instead.
    """
    if os.environ.get(UPDATE_VARIABLE) == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return []
    expected = path.read_text().splitlines()
    actual = text.splitlines()
    differences = []
    for number in range(max(len(expected), len(actual))):
        before = expected[number] if number < len(expected) else "(no line)"
        after = actual[number] if number < len(actual) else "(no line)"
        if before != after:
            differences.append(f"line {number + 1}: {before} became {after}")
    return differences
