"""The records that an entry's decisions are made of.

They say what an operator declared, what engines told of themselves and what a caller
asked for, whatever the names on the wire are.
"""

import enum

from toucanspread.core import data


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class EngineState(enum.Enum):
    """What an engine says of its readiness."""

    READY = "ready"
    DRAINING = "draining"


class Share(data.Record):
    """The part of a route's requests that goes to a service."""

    service: data.ServiceName
    weight: float


class Route(data.Record):
    """Which requests go to which service, and within what bounds.

    :param timeout_s: the longest that a caller is kept waiting.
    :param target_s: within which an answer, or a stream's first event, is on time.
    :param attempts: how many engines one request may run on.
    :param resumable: whether a stream may go on at another engine.
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

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class ModelProfile(data.Record):
    """The model that the engines of a service run.

    :param warmup_s: how long an engine needs to load all layers.
    :param read_per_s: prompt tokens that an engine reads in a second.
    :param pass_s: the steps that an engine makes for its writers between two reads.
    :param pass_tokens: what each writer gets of one pass.
    """

    model: data.ModelName
    layers: int
    chunks: int
    chunk_bytes: int
    warmup_s: float
    read_per_s: float = 10_000.0
    pass_s: float = 0.05
    pass_tokens: int = 5


class Service(data.Record):
    """A kind of engines.

    :param origin: where weights come from; only for the service that holds them.
    :param origin_mbps: the origin's link.
    :param origin_zone: where it is.
    """

    name: data.ServiceName
    profile: ModelProfile | None = None
    origin: data.Address = data.Address("")
    origin_mbps: float = 0.0
    origin_zone: data.ZoneName = data.ZoneName("")


class Team(data.Record):
    """Who holds which keys.

    :param priority: goes before the route's; None when the team has none.
    """

    name: data.TeamName
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(data.Record):
    """What callers may send, and how long they may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(data.Record):
    """Everything that the operator declared, as one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()


class LoadedLayers(data.Record):
    """A run of layers that an engine holds.

    :param end: the first layer that is not part of it.
    """

    model: data.ModelName
    version: int
    first: int
    end: int


class EngineEntry(data.Record):
    """What an engine's entry in the store says.

    :param born_ms: the start of this incarnation; tells it from one of the same id.
    :param loaded: what it holds; an engine without a model holds nothing.
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


class EngineLoad(data.Record):
    """How busy an engine was when its own instance asked it.

    :param address: of the engine; its id stands only in the store.
    :param born_ms: the start of the incarnation that was asked.
    :param version: the version that it serves with all layers; 0 for none.
    :param pace: over 1 means that it is slow.
    :param order_in_s: until it is ordered to switch, and cuts what it runs.
    """

    address: data.Address
    born_ms: int
    active: int
    queued: int
    version: int
    busy: bool
    pace: float = 1.0
    order_in_s: float | None = None


class PromptSent(data.Record):
    """An entry has sent an engine a prompt; told to the other entries of its zone."""

    engine_id: str
    service: data.ServiceName
    tokens: int


class EngineReport(data.Record):
    """What an engine says of itself when it is asked.

    :param orders: how many orders it has begun since its start.
    :param born_ms: the start of this incarnation.
    """

    loaded: tuple[LoadedLayers, ...]
    is_busy: bool
    orders: int
    queued: int
    active: int
    pace: float
    born_ms: int


class Call(data.Record):
    """What a caller's request says of itself.

    :param budget_s: how long the caller waits; None when it does not say.
    :param last_event_id: where a stream goes on; None at its beginning.
    :param output_tokens: the most that the answer may have.
    :param likely_tokens: what the caller expects of the answer; 0 if it says nothing.
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


def complete_version(loaded: tuple[LoadedLayers, ...], profile: ModelProfile) -> int:
    """Return the version of which an engine holds all layers, or 0."""
    held: dict[int, set[int]] = {}
    for part in loaded:
        if part.model == profile.model:
            held.setdefault(part.version, set()).update(range(part.first, part.end))
    whole = [v for v, layers in held.items() if len(layers) >= profile.layers]
    return max(whole, default=0)
