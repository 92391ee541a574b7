"""Reads a file of intents, as operators keep it in version control.

A file holds one mapping with ``intents`` (a list, one entry per service) and
optionally ``removed`` (names of services that are served no longer). All errors of a
file are collected, so that an operator can fix them in one go.
"""

import datetime
import re
from collections.abc import Callable

import yaml

from toucanspread.core import data, decoder

MAX_FILE_BYTES = 1024 * 1024
MAX_NAME_CHARACTERS = 128
MAX_REPLICAS = 100_000
MAX_WINDOW_S = 31 * 24 * 3600.0
DEFAULT_TEAM_WEIGHT = 1.0

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*\Z")
HASH_PATTERN = re.compile(r"[0-9a-f]{64}\Z")

FILE_KEYS = frozenset({"intents", "removed"})
COMMON_KEYS = frozenset(
    {"service", "kind", "replicas", "floor", "zones", "departures", "teams"}
    | {"repeatable"}
)
MODEL_KEYS = frozenset(
    {"model", "version", "manifest", "adapters", "origin_weight", "weights_bytes"}
)
DEPARTURE_KEYS = frozenset({"instance", "window_start", "window_end"})


class IntentError(Exception):
    """One error of an intent or of an intent file.

    :param where: the path of the faulty value, such as ``intents[0].replicas``.
    """

    def __init__(self, where: str, why: str):
        super().__init__(f"{where}: {why}")
        self.where = where
        self.why = why


class IntentFile(data.Record):
    """What a file of intents declares."""

    intents: tuple[data.Intent, ...]
    removed: tuple[data.ServiceName, ...] = ()


def parse(text: str) -> IntentFile:
    """Return the intents of a YAML text.

    An intent of a model may leave ``manifest`` out; the caller fills it in before it
    asks for a plan.

    :raises ExceptionGroup: of every :class:`IntentError` found.
    """
    reader = _Reader()
    declared = reader.read_file(_load(text))
    if reader.errors:
        raise ExceptionGroup("the intents are not valid", reader.errors)
    return declared


def validate(intent: data.Intent) -> list[IntentError]:
    """Return the errors of an intent, which need not come from a file."""
    errors = []
    where = f"service {intent.service}"
    if intent.replicas < 0:
        errors.append(IntentError(where, "replicas is negative"))
    if not 0 <= intent.floor <= intent.replicas:
        errors.append(IntentError(where, "floor is not between 0 and replicas"))
    if intent.kind is data.ServiceKind.MODEL:
        errors.extend(_validate_model(where, intent))
    for departure in intent.departures:
        if departure.window_end_s <= departure.window_start_s:
            errors.append(
                IntentError(where, f"window of {departure.instance_id} ends too early")
            )
    for share in intent.teams:
        if not share.weight > 0:
            errors.append(IntentError(where, f"weight of {share.team} is not positive"))
    return errors


def _validate_model(where: str, intent: data.Intent) -> list[IntentError]:
    errors = []
    if not intent.model or not intent.version:
        errors.append(IntentError(where, "a model needs model and version"))
    if not HASH_PATTERN.match(intent.manifest_hash):
        errors.append(IntentError(where, "manifest is not a sha256 in hex"))
    if not 0 <= intent.origin_weight <= 1:
        errors.append(IntentError(where, "origin_weight is not between 0 and 1"))
    return errors


class _Loader(yaml.SafeLoader):
    """A safe loader that rejects a duplicate key in a mapping."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node whose keys are all different."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is given twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _load(text: str) -> object:
    if len(text.encode()) > MAX_FILE_BYTES:
        raise ExceptionGroup(
            "the intents are not valid",
            [IntentError("file", f"larger than {MAX_FILE_BYTES} bytes")],
        )
    try:
        return decoder.parse_yaml(text, _Loader)
    except decoder.MalformedError as error:
        raise ExceptionGroup(
            "the intents are not valid", [IntentError("file", str(error))]
        ) from error


class _Reader:
    """Converts plain values into records and collects the errors."""

    def __init__(self):
        self.errors: list[IntentError] = []

    def add_error(self, where: str, why: str) -> None:
        self.errors.append(IntentError(where, why))

    def read_file(self, raw: object) -> IntentFile:
        mapping = self.read_mapping(raw, "file", FILE_KEYS)
        items = self.read_list(mapping.get("intents"), "intents")
        intents = []
        for index, item in enumerate(items):
            intents.append(self.read_intent(item, f"intents[{index}]"))
        removed = self.read_names(mapping.get("removed"), "removed")
        self._check_duplicates(intents, removed)
        if not intents and not removed and not self.errors:
            self.add_error("file", "declares nothing")
        return IntentFile(tuple(intents), removed)

    def _check_duplicates(self, intents: list[data.Intent], removed: tuple) -> None:
        seen = set()
        for service in [intent.service for intent in intents] + list(removed):
            if service and service in seen:
                self.add_error("file", f"service {service} is declared twice")
            seen.add(service)

    def read_intent(self, raw: object, where: str) -> data.Intent:
        mapping = self.read_mapping(raw, where, COMMON_KEYS | MODEL_KEYS)
        kind = self.read_kind(mapping.get("kind", "model"), f"{where}.kind")
        if kind is data.ServiceKind.PLAIN:
            for key in sorted(MODEL_KEYS & mapping.keys()):
                self.add_error(f"{where}.{key}", "does not apply to a plain service")
            mapping = {key: mapping[key] for key in mapping.keys() - MODEL_KEYS}
        replicas = self.read_integer(mapping.get("replicas"), f"{where}.replicas")
        floor = self.read_integer(mapping.get("floor", 0), f"{where}.floor")
        if floor > replicas:
            self.add_error(f"{where}.floor", "is above replicas")
        is_model = kind is data.ServiceKind.MODEL
        return data.Intent(
            service=self.read_name(mapping.get("service"), f"{where}.service"),
            kind=kind,
            replicas=replicas,
            floor=floor,
            zones=self.read_names(mapping.get("zones"), f"{where}.zones"),
            model=self.read_name(mapping.get("model"), f"{where}.model", is_model),
            version=self.read_name(
                mapping.get("version"), f"{where}.version", is_model
            ),
            manifest_hash=self.read_hash(
                mapping.get("manifest", ""), f"{where}.manifest"
            ),
            weights_bytes=self.read_size(mapping, f"{where}.weights_bytes"),
            adapters=self.read_names(mapping.get("adapters"), f"{where}.adapters"),
            departures=self.read_departures(mapping.get("departures"), where),
            teams=self.read_teams(mapping.get("teams"), f"{where}.teams"),
            origin_weight=self.read_number(
                mapping.get("origin_weight", 0.5), f"{where}.origin_weight", 0.0, 1.0
            ),
            repeatable=self.read_bool(
                mapping.get("repeatable", True), f"{where}.repeatable"
            ),
        )

    def read_mapping(self, raw: object, where: str, known: frozenset[str]) -> dict:
        if not isinstance(raw, dict):
            self.add_error(where, "is not a mapping")
            return {}
        for key in raw:
            if key not in known:
                self.add_error(where, f"unknown key {key!r}")
        return {key: value for key, value in raw.items() if key in known}

    def read_list(self, raw: object, where: str) -> list:
        if raw is None:
            return []
        if not isinstance(raw, list):
            self.add_error(where, "is not a list")
            return []
        return raw

    def read_names(self, raw: object, where: str) -> tuple:
        names = []
        for index, item in enumerate(self.read_list(raw, where)):
            names.append(self.read_name(item, f"{where}[{index}]"))
        if len(set(names)) != len(names):
            self.add_error(where, "names something twice")
        return tuple(names)

    def read_name(self, raw: object, where: str, required: bool = True) -> str:
        if raw is None and not required:
            return ""
        if isinstance(raw, datetime.date) and not isinstance(raw, datetime.datetime):
            raw = raw.isoformat()  # YAML reads an unquoted 2026-12-01 as a date
        if not isinstance(raw, str) or not raw:
            self.add_error(where, "is not a name (quote numbers)")
            return ""
        if len(raw) > MAX_NAME_CHARACTERS or not NAME_PATTERN.match(raw):
            self.add_error(where, f"{raw[:40]!r} is not a valid name")
            return ""
        return raw

    def read_hash(self, raw: object, where: str) -> data.ManifestHash:
        if raw == "" or (isinstance(raw, str) and HASH_PATTERN.match(raw)):
            return data.ManifestHash(raw)
        self.add_error(where, "is not a sha256 in hex")
        return data.ManifestHash("")

    def read_kind(self, raw: object, where: str) -> data.ServiceKind:
        for kind in data.ServiceKind:
            if raw == kind.value:
                return kind
        self.add_error(where, f"{raw!r} is neither model nor plain")
        return data.ServiceKind.MODEL

    def read_integer(
        self, raw: object, where: str, maximum: int = MAX_REPLICAS, minimum: int = 0
    ) -> int:
        if isinstance(raw, bool) or not isinstance(raw, int):
            self.add_error(where, "is not a whole number")
            return minimum
        if not minimum <= raw <= maximum:
            self.add_error(where, f"is not between {minimum} and {maximum}")
            return minimum
        return raw

    def read_size(self, mapping: dict, where: str) -> int:
        return self.read_integer(
            mapping.get("weights_bytes", 0), where, maximum=1 << 50
        )

    def read_number(
        self, raw: object, where: str, minimum: float, maximum: float
    ) -> float:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            self.add_error(where, "is not a number")
            return minimum
        if not minimum <= raw <= maximum:
            self.add_error(where, f"is not between {minimum:g} and {maximum:g}")
            return minimum
        return float(raw)

    def read_bool(self, raw: object, where: str) -> bool:
        if not isinstance(raw, bool):
            self.add_error(where, "is neither true nor false")
            return True
        return raw

    def read_teams(self, raw: object, where: str) -> tuple[data.TeamShare, ...]:
        if raw is None:
            return ()
        if not isinstance(raw, dict):
            self.add_error(where, "is not a mapping of teams to weights")
            return ()
        shares = []
        for team, weight in raw.items():
            name = self.read_name(team, where)
            value = self.read_number(weight, f"{where}.{name}", 0.001, 1e6)
            shares.append(data.TeamShare(data.TeamName(name), value))
        return tuple(sorted(shares, key=lambda share: share.team))

    def read_departures(self, raw: object, where: str) -> tuple[data.Departure, ...]:
        departures = []
        for index, item in enumerate(self.read_list(raw, f"{where}.departures")):
            item_where = f"{where}.departures[{index}]"
            mapping = self.read_mapping(item, item_where, DEPARTURE_KEYS)
            start_s = self.read_time(
                mapping.get("window_start"), f"{item_where}.window_start"
            )
            end_s = self.read_time(
                mapping.get("window_end"), f"{item_where}.window_end"
            )
            if not 0 < end_s - start_s <= MAX_WINDOW_S and not self.errors:
                self.add_error(
                    item_where, "the window must end within 31 days of its start"
                )
            name = self.read_name(mapping.get("instance"), f"{item_where}.instance")
            departures.append(data.Departure(data.InstanceId(name), start_s, end_s))
        return tuple(sorted(departures, key=lambda departure: departure.instance_id))

    def read_time(self, raw: object, where: str) -> float:
        if isinstance(raw, str):
            raw = self._parse_or_none(raw, datetime.datetime.fromisoformat)
        if isinstance(raw, datetime.datetime):
            if raw.tzinfo is None:
                # YAML reads a time without an offset as a naive one.
                self.add_error(where, "needs a time zone, such as 2026-12-05T02:00:00Z")
                return 0.0
            return raw.timestamp()
        if isinstance(raw, int | float) and not isinstance(raw, bool):
            return float(raw)
        self.add_error(where, "is not a time such as 2026-12-05T02:00:00Z")
        return 0.0

    def _parse_or_none(self, raw: str, parse_text: Callable[[str], object]) -> object:
        try:
            return parse_text(raw)
        except ValueError:
            return None
