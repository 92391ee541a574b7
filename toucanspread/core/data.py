"""The basic types that all parts share: ids, states and immutable records.

One module holds them so that a part never has to import another part only for its
types. Records are frozen :class:`msgspec.Struct` classes; the class name is the tag
on the wire and in session files.
"""

import enum
from typing import NewType

import msgspec

InstanceId = NewType("InstanceId", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)
TeamName = NewType("TeamName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
ChunkHash = NewType("ChunkHash", str)
ManifestHash = NewType("ManifestHash", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
PlanId = NewType("PlanId", str)
OperationId = NewType("OperationId", str)
Address = NewType("Address", str)  # "ip:port"; TCP and UDP share the port
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", int)
FencingNumber = NewType("FencingNumber", int)


AttemptKey = tuple[RequestId, int]  # a request and its attempt: names one dispatch


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The base of every immutable record."""


class Event(Record):
    """The base of everything that a machine is told."""


class Effect(Record):
    """The base of everything that a machine asks its shell to do."""


class Message(Record):
    """The base of one-way messages between the system's own processes."""


class Role(enum.Enum):
    """What a process of the system does."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class MemberState(enum.Enum):
    """What is believed of a process of the system."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class ServiceKind(enum.Enum):
    """What stands behind an endpoint process."""

    MODEL = "model"
    PLAIN = "plain"


class Outcome(enum.Enum):
    """The three final outcomes of a request."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request, a dispatch or an order ended as it did."""

    NONE = "none"
    BAD_REQUEST = "bad request"
    UNKNOWN_SERVICE = "unknown service"
    NO_ENDPOINT = "no endpoint"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    WRONG_VERSION = "wrong version"
    NOT_WHOLE = "not whole"
    DUPLICATE = "duplicate"
    CLAIM_UNAVAILABLE = "claim unavailable"
    ENGINE_FAILED = "engine failed"
    STREAM_BROKE = "stream broke"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    STALE_FENCE = "stale fence"


class OrderKind(enum.Enum):
    """What an order to an engine asks for."""

    LOAD = "load"
    ACTIVATE = "activate"
    UNLOAD = "unload"
    SET_ROLE = "set role"


class KvStatus(enum.Enum):
    """How a call on the key-value service ended."""

    OK = "ok"
    CONFLICT = "conflict"  # the expected version or holder was another
    ABSENT = "absent"
    UNCHANGED = "unchanged"  # a watch ran out with nothing new
    NOT_APPLIED = "not applied"  # proof that a write had no effect
    UNKNOWN = "unknown"  # a write may or may not have taken effect


class Identity(Record):
    """Who a process of the system is.

    :param address: where other processes of the system reach it.
    :param http_address: where callers and operators reach it; entries only.
    """

    instance_id: InstanceId
    role: Role
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    address: Address
    http_address: Address = Address("")


class TeamShare(Record):
    """The weight with which a team shares a service."""

    team: TeamName
    weight: float


class Departure(Record):
    """An instance that leaves before a landlord's window.

    :param window_start_s: when the window opens, in seconds since the epoch.
    """

    instance_id: InstanceId
    window_start_s: float
    window_end_s: float


class Intent(Record):
    """What an operator declares of one service.

    :param floor: the least number of whole replicas at any time.
    :param origin_weight: 0 favours time to N replicas, 1 favours origin bytes.
    :param repeatable: whether the service's calls may be repeated by default.
    :param weights_bytes: the size of the version's weights, for plans; 0 if unknown.
    """

    service: ServiceName
    kind: ServiceKind
    replicas: int
    floor: int
    zones: tuple[ZoneName, ...]
    model: ModelName = ModelName("")
    version: VersionName = VersionName("")
    manifest_hash: ManifestHash = ManifestHash("")
    adapters: tuple[AdapterName, ...] = ()
    departures: tuple[Departure, ...] = ()
    teams: tuple[TeamShare, ...] = ()
    origin_weight: float = 0.5
    repeatable: bool = True
    weights_bytes: int = 0


class Change(Record):
    """One accepted change of the configuration.

    The changes form one sequence by ``revision``; each names the intents that it
    sets and the services that it removes.
    """

    revision: Revision
    operation_id: OperationId
    plan_id: PlanId
    intents: tuple[Intent, ...]
    removed: tuple[ServiceName, ...] = ()


class Load(Record):
    """How busy an endpoint is, as told by its process on reports and answers.

    :param limit: how many requests the process runs at once.
    :param service_time_s: a smoothed time of one request.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    service_time_s: float = 0.0


class Report(Message):
    """What an endpoint process says of itself to the entries, once a second.

    :param version: the version that is whole, verified and served.
    :param sequence: grows with each report of one incarnation.
    :param target_version: the version being moved, if any.
    :param offers: the one plain service that can be served here; empty for engines.
    :param staged_chunks: how many of ``target_chunks`` are held and verified.
    :param relay: the entry that passes the report on, when not all entries get it.
    """

    identity: Identity
    sequence: int
    state: MemberState
    service: ServiceName = ServiceName("")
    kind: ServiceKind = ServiceKind.MODEL
    model: ModelName = ModelName("")
    version: VersionName = VersionName("")
    manifest_hash: ManifestHash = ManifestHash("")
    adapters: tuple[AdapterName, ...] = ()
    load: Load = Load()
    revision: Revision = Revision(0)
    fence: FencingNumber = FencingNumber(0)
    target_version: VersionName = VersionName("")
    staged_chunks: int = 0
    target_chunks: int = 0
    failure: str = ""
    offers: ServiceName = ServiceName("")
    relay: InstanceId = InstanceId("")


class Order(Message):
    """What the controller tells an endpoint process to serve.

    :param fence: the fencing number of the controller's lease; a lower one than the
        highest seen is refused.
    :param sequence: counts the orders under one fencing number, so that one that was
        delayed or doubled doesn't undo a later one.
    :param service: what to serve; empty for nothing.
    """

    fence: FencingNumber
    operation_id: OperationId
    instance_id: InstanceId
    service: ServiceName
    kind: ServiceKind
    model: ModelName = ModelName("")
    version: VersionName = VersionName("")
    manifest_hash: ManifestHash = ManifestHash("")
    adapters: tuple[AdapterName, ...] = ()
    origin_weight: float = 0.5
    leave: bool = False
    sequence: int = 0


class Request(Record):
    """A caller's request, without its body.

    :param budget_s: the remaining time in which an answer is of use.
    :param priority: 0 is the most urgent.
    :param prefix_hash: a hash of the start of the prompt, for prefix caches.
    """

    request_id: RequestId
    team: TeamName
    service: ServiceName
    budget_s: float
    model: ModelName = ModelName("")
    version: VersionName = VersionName("")
    adapter: AdapterName = AdapterName("")
    priority: int = 1
    repeatable: bool = True
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    prefix_hash: int = 0
    body_bytes: int = 0


class Dispatch(Message):
    """A request as an entry gives it to an endpoint process.

    :param attempt: tells the dispatches of the request apart. It grows with each one
        at its entry, from a random start: a caller that repeats a request with the
        same id must not be taken for a late copy.
    :param budget_s: what is left of the request's time at the moment of sending.
    :param endpoint_incarnation: the process that is meant; a restarted one refuses,
        as it does not know what its predecessor did. 0 means any.
    :param resume_from_bytes: how many payload bytes of a broken stream the caller
        already has; the frames of this attempt start with the byte after them and
        say so in their ``offset_bytes``. An endpoint that cannot do so refuses.
    :param resume_from_events: the same place, in whole server-sent events.
    :param resume_version: the version that gave the bytes so far; an endpoint that
        does not serve exactly it refuses, as no answer may mix versions.
    """

    request: Request
    attempt: int
    budget_s: float
    entry_id: InstanceId
    endpoint_incarnation: Incarnation = Incarnation(0)
    resume_from_bytes: int = 0
    resume_from_events: int = 0
    resume_version: VersionName = VersionName("")


class AnswerEnd(Message):
    """The last frame of an answer; without it no answer is whole.

    :param frames: how many payload frames came before.
    :param payload_bytes: their bytes in all.
    :param checksum: xxh64 of the payload, as 16 hex digits.
    :param status: the HTTP status of a plain service's answer.
    """

    request_id: RequestId
    attempt: int
    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after_s: float = 0.0
    frames: int = 0
    payload_bytes: int = 0
    checksum: str = ""
    status: int = 200
    version: VersionName = VersionName("")
    load: Load | None = None


class AnswerFrame(Message):
    """A piece of an answer.

    :param sequence: counts the frames of one attempt from 0.
    :param offset_bytes: where the payload stands in the answer, in an attempt that
        resumes a broken stream; 0 otherwise.
    :param version: what the answer is generated by; on the first frame only.
    """

    request_id: RequestId
    attempt: int
    sequence: int
    payload: bytes
    offset_bytes: int = 0
    version: VersionName = VersionName("")


class EngineStatus(Record):
    """What an engine reports of itself, late.

    :param digests: per whole version, the hash that the engine computed over the
        weights it holds; equals the manifest's ``weights_hash`` when they are whole.
    """

    fence: FencingNumber = FencingNumber(0)
    active_version: VersionName = VersionName("")
    digests: dict[VersionName, str] = {}
    adapters: tuple[AdapterName, ...] = ()
    running: int = 0
    queued: int = 0
