"""Records on which an entry bases its decisions.

They contain the operator's declarations, the status of engines and the requests of
callers. They do not depend on the names of the platform's wire format.
"""

import enum
from typing import Annotated, NewType

import msgspec

from toucanspread.core import bounds, data

MAX_PROMPT_PARTS = 32
MAX_PART_ID_LENGTH = 64  # characters
MAX_NOTICE_AGE_S = 86_400.0
PromptPartId = NewType(
    "PromptPartId", Annotated[str, msgspec.Meta(max_length=MAX_PART_ID_LENGTH)]
)
MAX_SUSPECT_PARTS = MAX_PROMPT_PARTS + 1  # those of the prompt, and the whole request
PromptParts = Annotated[
    tuple[PromptPartId, ...], msgspec.Meta(min_length=1, max_length=MAX_SUSPECT_PARTS)
]
Age = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NOTICE_AGE_S)]  # seconds


class RequestKind(enum.Enum):
    """Whether and how the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class EngineState(enum.Enum):
    """Readiness that an engine reports."""

    READY = "ready"
    DRAINING = "draining"


class Share(data.Record):
    """Weight of a service among those that share the requests of a route."""

    service: data.ServiceName
    weight: float


class Route(data.Record):
    """Maps requests to services, with the limits that apply to them.

    :param timeout_s: maximum time until the final answer to the caller.
    :param target_s: target time for an answer, or for the first event of a stream.
    :param attempts: maximum number of engines on which one request may run.
    :param resumable: whether a broken stream may be resumed on another engine.
    :param allowed_regions: regions in which requests may be served; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    attempts: int
    allow_anonymous: bool = False
    resumable: bool = False
    allowed_regions: tuple[data.RegionName, ...] = ()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class ModelProfile(data.Record):
    """Model that the engines of a service run, and its performance.

    An engine alternates between prefill (it reads one prompt) and a decode pass (some
    steps that generate tokens for all requests it has read).

    :param warmup_s: time that an engine needs to load all layers.
    :param read_per_s: prompt tokens that an engine prefills per second.
    :param pass_s: duration of the decode pass between two prefills.
    :param pass_tokens: tokens that one decode pass generates for each request.
    :param prefix_cache_tokens: prompt tokens that an engine keeps after their requests;
        0 if it keeps none.
    """

    model: data.ModelName
    layers: int
    chunks: int
    chunk_bytes: int
    warmup_s: float
    read_per_s: float = 10_000.0
    pass_s: float = 0.05
    pass_tokens: int = 5
    prefix_cache_tokens: int = 0


class DueVersion(data.Record):
    """A version of weights that was named and is not in force yet.

    :param begin_until_s: time until which requests may begin on older versions.
    """

    version: int
    begin_until_s: float


class Service(data.Record):
    """A service that a group of engines of the same kind provides.

    :param origin: address of the origin of weights; set for the origin service only.
    :param origin_mbps: bandwidth of the origin's link in Mbit/s.
    :param origin_zone: availability zone of the origin.
    :param cold_start_s: time for which an engine is cold after its start.
    :param cold_per_s: requests per second that a cold engine bears from all entries
        together; 0 if a cold engine bears as many as any other.
    """

    name: data.ServiceName
    profile: ModelProfile | None = None
    origin: data.Address = data.Address("")
    origin_mbps: float = 0.0
    origin_zone: data.ZoneName = data.ZoneName("")
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Team(data.Record):
    """A team and its API keys.

    :param priority: overrides the priority of the route; None if the team has none.
    :param allowed_regions: regions in which requests may be served; empty for all.
    """

    name: data.TeamName
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: tuple[data.RegionName, ...] = ()


class CallerLimits(data.Record):
    """Limits on the size and duration of callers' requests."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(data.Record):
    """One version of all declarations of the operator."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()


class LoadedLayers(data.Record):
    """A range of consecutive layers that an engine holds.

    :param end: the layer after the last one of the range.
    """

    model: data.ModelName
    version: int
    first: int
    end: int


class EngineEntry(data.Record):
    """Entry of an engine in the store.

    :param born_ms: start of this incarnation; distinguishes it from others with its id.
    :param loaded: the layers that it holds; empty for an engine without a model.
    """

    engine_id: str
    service: data.ServiceName
    address: data.Address
    zone: data.ZoneName
    slots: int
    state: EngineState
    born_ms: int = 0
    cold_left_s: float = 0.0
    loaded: tuple[LoadedLayers, ...] = ()


# An engine that is about to be ordered to switch gets no new requests for this time.
ORDER_QUIET_S = 0.15


class EngineLoad(data.Record):
    """Load of an engine, read by the process on the engine's instance.

    :param address: address of the engine; its id is only known in the store.
    :param born_ms: start of the incarnation that the load was read from.
    :param version: the version of which it serves all layers; 0 for none.
    :param pace: slowdown factor; above 1 the engine is slower than usual.
    :param order_in_s: time until the engine is ordered to switch to another version and
        interrupts its running requests.
    :param link_delay_s: time for which bytes to its instance are held on the way.
    :param coming_version: the version that it loads next; 0 if there is none.
    :param coming_in_s: time until it has loaded that version; None if that is unknown.
    """

    address: data.Address
    born_ms: bounds.UnixMs
    active: bounds.Count
    queued: bounds.Count
    version: bounds.Version
    busy: bool
    pace: bounds.Pace = 1.0
    order_in_s: bounds.DurationS | None = None
    link_delay_s: bounds.DurationS = 0.0
    coming_version: bounds.Version = 0
    coming_in_s: bounds.DurationS | None = None


class PromptSent(data.Record):
    """Notice to the entries of a zone that one of them sent a prompt to an engine."""

    engine_id: str
    service: data.ServiceName
    tokens: bounds.Tokens


class LimitNotice(data.Record):
    """Notice to all entries of the limit that an engine names, or of its end.

    :param limit_per_s: requests per second that the engine accepts from all entries
        together; None if it names no limit any more.
    :param age_s: time since the engine named the limit; without a limit, since the
        request was sent whose answer named none.
    :param dispatches: requests that the sender of the notice has sent to the engine
        since its last notice.
    """

    engine_id: str
    limit_per_s: bounds.Rate | None
    age_s: bounds.DurationS
    dispatches: bounds.Count = 0


class CrashSuspected(data.Record):
    """Notice to all entries that an engine broke off when a request had just begun.

    :param born_ms: start of the engine's incarnation.
    :param request: hash of the request's id.
    :param parts: shared parts of the request's prompt of which the sender of the notice
        knows no whole answer.
    """

    engine_id: Annotated[str, msgspec.Meta(max_length=256)]
    born_ms: bounds.UnixMs
    request: int
    parts: PromptParts


class PartsSound(data.Record):
    """Notice to all entries that an engine gave whole answers to prompts with parts.

    :param age_s: time since the oldest of these answers.
    """

    parts: PromptParts
    age_s: Age = 0.0


class PartsQuarantined(data.Record):
    """Notice to all entries that prompts with all of some parts crash engines.

    :param idle_s: time since a request with these parts was last seen.
    :param trials: number of requests that were let through as a trial.
    :param trial_in_s: time until another request may be let through.
    :param is_ambiguous: whether other parts may be the cause of the same crashes.
    """

    parts: PromptParts
    idle_s: Age
    trials: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    trial_in_s: Age
    is_ambiguous: bool = False


class QuarantineLifted(data.Record):
    """Notice to all entries that other causes explain the crashes of a quarantine."""

    parts: PromptParts


CrashNotice = CrashSuspected | PartsSound | PartsQuarantined | QuarantineLifted
# Sent to entries as datagrams.
EngineNotice = EngineLoad | PromptSent | LimitNotice | CrashNotice


class EngineReport(data.Record):
    """Status with which an engine answers a query.

    :param orders: number of orders that it has begun since its start.
    :param born_ms: start of this incarnation.
    """

    loaded: tuple[LoadedLayers, ...]
    is_busy: bool
    orders: int
    queued: int
    active: int
    pace: float
    born_ms: int


class PromptPart(data.Record):
    """A part of a prompt, which other prompts may have in the same place."""

    part_id: PromptPartId
    tokens: bounds.Tokens


class Call(data.Record):
    """A caller's request as described by its head.

    :param budget_s: time for which the caller waits; None if the request does not say.
    :param last_event_id: event after which a stream resumes; None for a new stream.
    :param output_tokens: maximum number of tokens of the answer.
    :param likely_tokens: number of tokens that the caller expects; 0 if unknown.
    :param prompt_parts: ids of the shared parts of the prompt in order, i.e. of all but
        the last part.
    :param fingerprint: id that all requests have that are the same to an engine; empty
        if it is not known.
    :param sized_parts: all parts of the prompt in order, with the last one.
    """

    attempt_id: str
    host: str
    path: str
    key: str | None
    budget_s: float | None = None
    last_event_id: str | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    likely_tokens: int = 0
    prompt_parts: tuple[PromptPartId, ...] = ()
    fingerprint: PromptPartId = PromptPartId("")
    sized_parts: tuple[PromptPart, ...] = ()

    @property
    def suspect_parts(self) -> tuple[PromptPartId, ...]:
        """Return what may be the reason why an engine crashes on the request.

        That is each part that other requests share, and the request as a whole.
        """
        if not self.fingerprint:
            return self.prompt_parts
        return (*self.prompt_parts, self.fingerprint)


def complete_version(loaded: tuple[LoadedLayers, ...], profile: ModelProfile) -> int:
    """Return the newest version of which all layers are loaded, or 0."""
    layers_by_version: dict[int, int] = {}  # one bit for each layer
    for part in loaded:
        if part.model != profile.model:
            continue
        layers = (1 << max(part.first, part.end)) - (1 << part.first)
        layers |= layers_by_version.get(part.version, 0)
        layers_by_version[part.version] = layers
    complete = [
        version
        for version, layers in layers_by_version.items()
        if layers.bit_count() >= profile.layers
    ]
    return max(complete, default=0)
