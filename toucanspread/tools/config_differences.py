"""Lists the differences of two configurations, and the callers that they affect."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from toucanspread.core.entry import data as entry_data
from toucanspread.tools import config_format

ABSENT = "absent"
PRESENT = "present"
HIDDEN = "hidden"  # replaces keys, also in misspelt fields: they are secrets
ALL_CALLERS = "all callers"


class Difference(NamedTuple):
    """A value of the configuration that changes.

    :param place: path of the value, as ``routes[r-1].attempts``.
    :param before: the value in force; :data:`ABSENT` if there is none.
    :param after: the value in the checked configuration.
    :param callers: the affected callers, each as host and prefix or as a team.
    """

    place: str
    before: str
    after: str
    callers: tuple[str, ...]


def compare(
    in_force: config_format.Reading,
    checked: config_format.Reading,
    names: config_format.WireNames,
) -> list[Difference]:
    """Return the differences of two readings that have a configuration.

    Defaults count as written, and objects with names may be in any order.
    """
    configurations = (in_force.configuration, checked.configuration)
    differences: list[Difference] = []
    for section in ("routes", "services", names.teams):
        before = _index_by_name(in_force.fields[section])
        after = _index_by_name(checked.fields[section])
        for name in before | after:
            place = f"{section}[{name}]"
            callers = _find_callers(section, name, configurations)
            if name not in after:
                differences.append(Difference(place, PRESENT, ABSENT, callers))
                continue
            if name not in before:
                differences.append(Difference(place, ABSENT, PRESENT, callers))
                continue
            differences.extend(
                _compare_objects(place, before[name], after[name], callers, names)
            )
    listed = {"version", "routes", "services", names.teams}
    before, after = (
        {key: value for key, value in reading.fields.items() if key not in listed}
        for reading in (in_force, checked)
    )
    differences.extend(_compare_objects("", before, after, (ALL_CALLERS,), names))
    return differences


def _compare_objects(
    place: str,
    before: dict[str, Any],
    after: dict[str, Any],
    callers: tuple[str, ...],
    names: config_format.WireNames,
) -> Iterator[Difference]:
    before_fields = dict(_flatten(place, before))
    after_fields = dict(_flatten(place, after))
    for field in before_fields | after_fields:
        texts = [
            json.dumps(fields[field]) if field in fields else ABSENT
            for fields in (before_fields, after_fields)
        ]
        if texts[0] == texts[1]:
            continue
        if field == f"{place}.{names.keys}":
            texts = _describe_keys(before_fields[field], after_fields[field])
        elif "key" in field.removeprefix(place):
            texts = [text if text == ABSENT else HIDDEN for text in texts]
        yield Difference(field, texts[0], texts[1], callers)


def _flatten(place: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the paths and values that an object contains."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _flatten(f"{place}.{key}" if place else key, item)
    elif isinstance(value, list) and value and all(isinstance(x, dict) for x in value):
        # A split lists each service once as a rule; the order has no meaning. That of
        # models has: the programs use the first one.
        if all(isinstance(item.get("service"), str) for item in value):
            for name, item in _index_by_name(value, "service").items():
                yield from _flatten(f"{place}[{name}]", item)
            return
        for index, item in enumerate(value):
            yield from _flatten(f"{place}[{index}]", item)
    elif isinstance(value, list) and all(isinstance(item, str) for item in value):
        yield place, sorted(value)
    elif isinstance(value, float) and value.is_integer():
        yield place, int(value)  # 400 and 400.0 are the same number
    else:
        yield place, value


def _index_by_name(items: Iterable[dict], key: str = "name") -> dict[str, dict]:
    """Return objects by name; the second one of a name gets ``#2`` after it."""
    indexed: dict[str, dict] = {}
    for item in items:
        name, number = item[key], 1
        while name in indexed:
            number += 1
            name = f"{item[key]}#{number}"
        indexed[name] = item
    return indexed


def _describe_keys(before: list[str], after: list[str]) -> list[str]:
    removed, added = set(before) - set(after), set(after) - set(before)
    return [
        f"{len(before)} keys",
        f"{len(after)} keys ({len(added)} added, {len(removed)} removed)",
    ]


def _find_callers(
    section: str,
    name: str,
    configurations: Iterable[entry_data.Configuration],
) -> tuple[str, ...]:
    """Return the callers whom an object of a section concerns."""
    if section not in ("routes", "services"):
        return (f"team {name}",)
    callers = {}
    for configuration in configurations:
        for route in configuration.routes:
            serving = {share.service for share in route.shares}
            if name == route.name if section == "routes" else name in serving:
                callers[route.host + route.prefix] = None
    return tuple(callers)
