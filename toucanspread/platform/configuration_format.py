"""Reads configurations for the check before they are written to the store."""

from collections.abc import Iterator
from typing import Any

from toucanspread.core import decoder
from toucanspread.platform import decoding
from toucanspread.tools import config_format

Finding = config_format.Finding
Severity = config_format.Severity
MAX_NESTING_DEPTH = 32  # configurations need 6; bounds the recursion over their values
NAMES = config_format.WireNames("tenants", "api_keys", "slo_ms", "resume_streams")
# Fields that the engines or the platform read.
FIELDS_OF_OTHERS = frozenset(
    {
        "act_bytes",
        "adapter_slots",
        "chunk",
        "context_per_k",
        "delays",
        "gap_target_ms",
        "health_path",
        "kv_capacity",
        "kv_token_bytes",
        "layer_mb",
        "link_mbps",
        "load_s",
        "loads_at_once",
        "loads_per_s",
        "max_conns",
        "pace",
        "pairs_per_m",
        "per_seq_ms",
        "pipe_mbps",
        "protocol",
        "report_lag_ms",
        "size_mb",
        "slots",
        "sticky",
        "tls",
        "usual",
    }
)


class StoreFormat(config_format.ConfigurationFormat):
    """The JSON value of the configuration's key in the store."""

    @property
    def names(self) -> config_format.WireNames:
        """Return the names of sections and fields."""
        return NAMES

    def read(self, value: bytes) -> config_format.Reading:
        """Read a configuration; malformed bytes become a finding."""
        findings: list[Finding] = []

        def add_clamped(place: str, field: str, used: float) -> None:
            message = f"out of bounds: the programs use {used:g} instead"
            findings.append(Finding(Severity.ERROR, f"{place}.{field}", message))

        try:
            configuration = decoding.decode_configuration(value, add_clamped)
            known = decoding.read_fields(value)
            written = decoder.parse_json(value)
        except decoder.MalformedError as error:
            message = f"the programs refuse it: {error}"
            refused = Finding(Severity.ERROR, "", message)
            return config_format.Reading(None, {}, (refused,))
        if _is_too_deep(written):
            message = f"nested more than {MAX_NESTING_DEPTH} levels deep"
            refused = Finding(Severity.ERROR, "", message)
            return config_format.Reading(None, {}, (refused,))
        findings.extend(_find_unknown_kinds(known["routes"]))
        for place in _list_unread("", known, written):
            message = "not read by the programs; misspelt?"
            findings.append(Finding(Severity.NOTE, place, message))
        fields = _merge(known, written)
        return config_format.Reading(configuration, fields, tuple(findings))


def _find_unknown_kinds(routes: list[dict[str, Any]]) -> Iterator[Finding]:
    for route in routes:
        if route["kind"] in decoding.REQUEST_KINDS:
            continue
        message = f"unknown kind {route['kind']!r} is taken for 'non_idempotent'"
        yield Finding(Severity.ERROR, f"routes[{route['name']}].kind", message)


def _is_too_deep(value: Any) -> bool:
    level, depth = [value], 0
    while level:
        depth += 1
        if depth > MAX_NESTING_DEPTH:
            return True
        children = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        level = children
    return False


def _list_unread(place: str, known: Any, written: Any) -> Iterator[str]:
    """Yield the places of written fields that the decoder does not know."""
    if isinstance(known, dict):
        for key, item in written.items():
            child = f"{place}.{key}" if place else key
            if key in known:
                yield from _list_unread(child, known[key], item)
            elif key not in FIELDS_OF_OTHERS:
                yield child
    elif isinstance(known, list):
        for index, (known_item, item) in enumerate(zip(known, written, strict=True)):
            name = known_item.get("name", index) if isinstance(known_item, dict) else 0
            yield from _list_unread(f"{place}[{name}]", known_item, item)


def _merge(known: Any, written: Any) -> Any:
    """Return the written fields with the defaults of those that are missing."""
    if isinstance(known, dict):
        merged = {key: value for key, value in written.items() if key not in known}
        for key, value in known.items():
            merged[key] = _merge(value, written[key]) if key in written else value
        return merged
    if isinstance(known, list):
        return [_merge(*items) for items in zip(known, written, strict=True)]
    return known
