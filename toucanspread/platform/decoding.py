"""Decodes values that the operator and the engines wrote into the core's records.

The private types have the field names of the platform's wire format. An engine's entry
may come from another writer; an engine whose entry cannot be decoded is not used.
The operator's configuration is one value for all services, so that its numbers are
clamped to their bounds instead.
"""

import functools
from collections.abc import Callable
from typing import Any

import msgspec

from toucanspread.core import bounds, data, decoder
from toucanspread.core.entry import cluster_state, entry_directory
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import store_view
from toucanspread.ops.telemetry import logs

CONFIGURATION_KEY = "op/config"
VERSIONS_PREFIX = "op/version/"
EVACUATIONS_PREFIX = "op/evacuate/"
ENGINES_PREFIX = "servers/"
ENTRY_PREFIXES = ("op/", ENGINES_PREFIX, entry_directory.RECORDS_PREFIX)
SIDECAR_PREFIXES = (VERSIONS_PREFIX, ENGINES_PREFIX, entry_directory.RECORDS_PREFIX)
DEFAULT_PRIORITY = 5
COUNT = bounds.Range(0, 1_000_000)
STRIDE = bounds.Range(1, 1_000_000)  # a pass generates one token at least
DURATION_MS = bounds.Range(0, bounds.MAX_DURATION_MS)
DURATION_S = bounds.Range(0, bounds.MAX_DURATION_S)
PRIORITY = bounds.Range(0, 1_000_000_000)  # 0 is the most urgent
WEIGHT = bounds.Range(0, 1_000_000_000)
LAYERS = bounds.Range(0, bounds.MAX_LAYERS)
PIECES = bounds.Range(0, bounds.MAX_PIECES)
CACHE_TOKENS = bounds.Range(0, 1_000_000_000)
READ_PER_S = bounds.Range(0.001, 1_000_000_000)  # time is computed by dividing by it
LINK_MBPS = bounds.Range(0, 1_000_000_000)
RATE_PER_S = bounds.Range(0, 1_000_000_000)
BODY_BYTES = bounds.Range(0, 2**40)
PIECE_BYTES = bounds.Range(0, 2**32)

# Gets the place, the field and the number that is used instead.
ClampHandler = Callable[[str, str, float], None]

REQUEST_KINDS = {
    "idempotent": entry_data.RequestKind.IDEMPOTENT,
    "non_idempotent": entry_data.RequestKind.NON_IDEMPOTENT,
    "streaming": entry_data.RequestKind.STREAMING,
}
ENGINE_STATES = {
    "ready": entry_data.EngineState.READY,
    "draining": entry_data.EngineState.DRAINING,
}


class _TrafficSplit(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 1_000.0  # target time of each answer, not an average
    priority: int = DEFAULT_PRIORITY
    service: str = ""
    traffic_split: list[_TrafficSplit] = []
    attempts: int = 1  # engines that may run one request, including the first
    allow_anonymous: bool = False
    resume_streams: bool = False
    allowed_regions: list[str] = []


class _Model(msgspec.Struct, frozen=True):
    name: str
    warmup_s: float = 0.3


class _EngineSettings(msgspec.Struct, frozen=True):
    models: list[_Model] = []
    step_ms: float = 10.0
    stride: int = 1  # steps (tokens) of each request in one decode pass
    read_per_s: float = 10_000.0
    layers: int = 1
    chunks: int = 1
    chunk_bytes: int = 0
    prefix_cache_tokens: int = 0  # prompt tokens kept after their requests


class _Service(msgspec.Struct, frozen=True):
    name: str
    engine: _EngineSettings | None = None
    origin: str = ""
    link_mbps: float = 0.0  # of the origin's link; each engine has its own link
    zone: str = ""  # of the origin
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True):
    """The platform's name for a team."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Config(msgspec.Struct, frozen=True):
    version: bounds.Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _LayerRange(msgspec.Struct, frozen=True, rename={"first": "from", "end": "to"}):
    first: bounds.Layer
    end: bounds.Layer
    version: bounds.Version


class _LoadedModel(msgspec.Struct, frozen=True):
    name: str
    version: bounds.Version
    layers: list[_LayerRange] | _LayerRange | None = None


class _EngineEntry(msgspec.Struct, frozen=True):
    """An engine's entry; one of another writer may lack fields or have other types.

    :param version: of the engine's software.
    :param sequence: number of orders that the engine has begun.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: bounds.Slots
    state: str
    cold_left_ms: bounds.DurationMs
    sequence: bounds.Count
    born: bounds.UnixMs = 0
    models: list[_LoadedModel] = []


class _EngineReport(msgspec.Struct, frozen=True):
    """An engine's report.

    :param sequence: number of orders that the engine has begun, not a number of the
        report.
    """

    models: list[_LoadedModel] = []
    busy: bool = False
    sequence: bounds.Count = 0
    queued: bounds.Count = 0
    active: bounds.Count = 0
    pace: bounds.Pace = 1.0
    born: bounds.UnixMs = 0


class _Versioned(msgspec.Struct, frozen=True):
    """What is common to the operator's values."""

    version: bounds.Version


class _NamedVersion(msgspec.Struct, frozen=True):
    model: str
    version: bounds.Version


def decode_change(change: store_view.KeyChange) -> data.Event | None:
    """Decode a change of the store into an event; return None if it is irrelevant."""
    key = change.key
    if key == CONFIGURATION_KEY:
        return _decode_configuration_change(change)
    if key.startswith(VERSIONS_PREFIX):
        return _decode_version_change(change)
    if key.startswith(EVACUATIONS_PREFIX):
        return _decode_evacuation_change(change)
    if key.startswith(ENGINES_PREFIX):
        return _decode_engine_change(change)
    if key.startswith(entry_directory.RECORDS_PREFIX):
        return _decode_entry_change(change)
    return None


def read_version(key: str, value: bytes) -> int | None:
    """Return the version of a value of the operator; None if the key has none."""
    if key != CONFIGURATION_KEY and not key.startswith(VERSIONS_PREFIX):
        return None
    try:
        return decoder.decode_json(value, _Versioned).version
    except decoder.MalformedError:
        return None


def decode_configuration(
    value: bytes, on_clamped: ClampHandler | None = None
) -> entry_data.Configuration:
    """Decode the configuration that the operator wrote.

    :param on_clamped: called for each number that is clamped; None writes a log line.
    :raises decoder.MalformedError: when it is malformed.
    """
    handler = on_clamped or _log_clamped
    config = decoder.decode_json(value, _Config)
    clamp = functools.partial(_clamp, handler, "limits")
    return entry_data.Configuration(
        config.version,
        tuple(_make_route(route, handler) for route in config.routes),
        tuple(_make_service(service, handler) for service in config.services),
        tuple(_make_team(tenant, handler) for tenant in config.tenants),
        entry_data.CallerLimits(
            clamp("max_header_bytes", config.limits.max_header_bytes, BODY_BYTES),
            clamp("max_body_bytes", config.limits.max_body_bytes, BODY_BYTES),
            clamp("header_timeout_ms", config.limits.header_timeout_ms, DURATION_MS)
            / 1000,
            clamp("idle_timeout_ms", config.limits.idle_timeout_ms, DURATION_MS) / 1000,
        ),
    )


def read_fields(value: bytes) -> dict[str, Any]:
    """Return the fields of a configuration that the programs read, with defaults.

    :raises decoder.MalformedError: when it is malformed.
    """
    return msgspec.to_builtins(decoder.decode_json(value, _Config))


def decode_engine(engine_id: str, value: bytes) -> entry_data.EngineEntry | None:
    """Decode an engine's entry; return None if it describes no usable engine."""
    if not engine_id.isprintable():
        # Requests name it in a header line.
        return None
    try:
        entry = decoder.decode_json(value, _EngineEntry)
        loaded = _make_loaded_layers(entry.models)
    except decoder.MalformedError:
        return None
    state = ENGINE_STATES.get(entry.state)
    if state is None or not data.is_address(entry.address):
        return None
    return entry_data.EngineEntry(
        engine_id,
        data.ServiceName(entry.service),
        data.Address(entry.address),
        data.ZoneName(entry.zone),
        entry.slots,
        state,
        entry.born,
        entry.cold_left_ms / 1000,
        loaded,
    )


def decode_report(body: bytes) -> entry_data.EngineReport:
    """Decode an engine's report.

    :raises decoder.MalformedError: when it is malformed.
    """
    report = decoder.decode_json(body, _EngineReport)
    return entry_data.EngineReport(
        _make_loaded_layers(report.models),
        report.busy,
        report.sequence,
        report.queued,
        report.active,
        report.pace,
        report.born,
    )


def _decode_configuration_change(change: store_view.KeyChange) -> data.Event | None:
    if change.value is None:
        return None
    try:
        configuration = decode_configuration(change.value)
    except decoder.MalformedError as error:
        logs.write("configuration_unreadable", why=str(error), revision=change.revision)
        return None
    return cluster_state.ConfigurationSeen(configuration)


def _decode_version_change(change: store_view.KeyChange) -> data.Event | None:
    if change.value is None:
        return None
    try:
        named = decoder.decode_json(change.value, _NamedVersion)
    except decoder.MalformedError as error:
        logs.write("version_unreadable", why=str(error), key=change.key)
        return None
    return cluster_state.VersionNamed(data.ModelName(named.model), named.version)


def _decode_evacuation_change(change: store_view.KeyChange) -> data.Event:
    # The key says everything; the value has no fields.
    zone = data.ZoneName(change.key.removeprefix(EVACUATIONS_PREFIX))
    if change.value is None:
        return cluster_state.EvacuationEnded(zone)
    return cluster_state.EvacuationSeen(zone)


def _decode_engine_change(change: store_view.KeyChange) -> data.Event:
    engine_id = change.key.removeprefix(ENGINES_PREFIX)
    if change.value is None:
        return cluster_state.EngineRemoved(engine_id)
    entry = decode_engine(engine_id, change.value)
    if entry is None:
        logs.write("engine_entry_unreadable", engine=engine_id)
        return cluster_state.EngineRemoved(engine_id)
    return cluster_state.EngineSeen(entry)


def _decode_entry_change(change: store_view.KeyChange) -> data.Event | None:
    if change.value is None:
        return cluster_state.EntryRemoved(
            change.key.removeprefix(entry_directory.RECORDS_PREFIX)
        )
    record = entry_directory.decode_record(change.value)
    if record is None or change.key != entry_directory.RECORDS_PREFIX + record.name:
        logs.write("entry_record_unreadable", key=change.key)
        return None
    return cluster_state.EntrySeen(record)


def _make_route(route: _Route, on_clamped: ClampHandler) -> entry_data.Route:
    place = f"routes[{route.name}]"
    clamp = functools.partial(_clamp, on_clamped, place)
    shares = [
        entry_data.Share(
            data.ServiceName(split.service),
            _clamp(
                on_clamped,
                f"{place}.traffic_split[{split.service}]",
                "weight",
                split.weight,
                WEIGHT,
            ),
        )
        for split in route.traffic_split
    ]
    if not shares and route.service:
        shares = [entry_data.Share(data.ServiceName(route.service), 1.0)]
    return entry_data.Route(
        route.name,
        route.host.lower(),
        route.prefix,
        REQUEST_KINDS.get(route.kind, entry_data.RequestKind.NON_IDEMPOTENT),
        clamp("timeout_ms", route.timeout_ms, DURATION_MS) / 1000,
        clamp("slo_ms", route.slo_ms, DURATION_MS) / 1000,
        clamp("priority", route.priority, PRIORITY),
        tuple(shares),
        clamp("attempts", route.attempts, COUNT),
        route.allow_anonymous,
        route.resume_streams,
        _make_regions(route.allowed_regions),
    )


def _make_service(service: _Service, on_clamped: ClampHandler) -> entry_data.Service:
    place = f"services[{service.name}]"
    clamp = functools.partial(_clamp, on_clamped, place)
    profile = None
    engine = service.engine
    if engine is not None and engine.models:
        model = engine.models[0]
        clamp_engine = functools.partial(_clamp, on_clamped, f"{place}.engine")
        clamp_model = functools.partial(
            _clamp, on_clamped, f"{place}.engine.models[{model.name}]"
        )
        stride = clamp_engine("stride", engine.stride, STRIDE)
        profile = entry_data.ModelProfile(
            data.ModelName(model.name),
            clamp_engine("layers", engine.layers, LAYERS),
            clamp_engine("chunks", engine.chunks, PIECES),
            clamp_engine("chunk_bytes", engine.chunk_bytes, PIECE_BYTES),
            clamp_model("warmup_s", model.warmup_s, DURATION_S),
            clamp_engine("read_per_s", engine.read_per_s, READ_PER_S),
            clamp_engine("step_ms", engine.step_ms, DURATION_MS) * stride / 1000,
            stride,
            clamp_engine(
                "prefix_cache_tokens", engine.prefix_cache_tokens, CACHE_TOKENS
            ),
        )
    name = data.ServiceName(service.name)
    origin = data.Address(service.origin)
    zone = data.ZoneName(service.zone)
    link_mbps = clamp("link_mbps", service.link_mbps, LINK_MBPS)
    return entry_data.Service(
        name,
        profile,
        origin,
        link_mbps,
        zone,
        clamp("cold_start_s", service.cold_start_s, DURATION_S),
        clamp("cold_per_s", service.cold_per_s, RATE_PER_S),
    )


def _make_team(tenant: _Tenant, on_clamped: ClampHandler) -> entry_data.Team:
    clamp = functools.partial(_clamp, on_clamped, f"tenants[{tenant.name}]")
    name = data.TeamName(tenant.name)
    priority = tenant.priority
    if priority is not None:
        priority = clamp("priority", priority, PRIORITY)
    regions = _make_regions(tenant.allowed_regions)
    return entry_data.Team(name, tuple(tenant.api_keys), priority, regions)


def _make_regions(names: list[str]) -> tuple[data.RegionName, ...]:
    return tuple(data.RegionName(name) for name in names)


def _make_loaded_layers(
    models: list[_LoadedModel],
) -> tuple[entry_data.LoadedLayers, ...]:
    """Return the ranges of layers that an engine holds.

    :raises decoder.MalformedError: when they are more than a model has layers.
    """
    loaded_layers = []
    for model in models:
        name = data.ModelName(model.name)
        layers = model.layers
        if layers is None:
            # An engine that lists no layers holds all of them.
            loaded_layers.append(
                entry_data.LoadedLayers(name, model.version, 0, bounds.MAX_LAYERS)
            )
            continue
        for layer_range in layers if isinstance(layers, list) else [layers]:
            loaded_layers.append(
                entry_data.LoadedLayers(
                    name, layer_range.version, layer_range.first, layer_range.end
                )
            )
    if len(loaded_layers) > bounds.MAX_LAYERS:
        raise decoder.MalformedError(f"{len(loaded_layers)} ranges of layers")
    return tuple(loaded_layers)


def _clamp(
    on_clamped: ClampHandler,
    place: str,
    field: str,
    number: float,
    limits: bounds.Range,
) -> float:
    """Return a number of the configuration within its limits, and report a change.

    :param place: object of the configuration that has the number.
    :param field: name of the number in the configuration.
    """
    clamped = limits.clamp(number)
    if clamped != number:
        on_clamped(place, field, clamped)
    return clamped


def _log_clamped(place: str, field: str, clamped: float) -> None:
    logs.write("configuration_clamped", place=place, field=field, to=clamped)
