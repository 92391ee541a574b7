"""Types shared by all packages of the core: ids, enumerations and immutable records.

They stand in one module so that no package has to import another one only for its
types. Records are frozen :class:`msgspec.Struct` classes; the class name is the tag on
the wire and in recorded sessions.
"""

import enum
import ipaddress
import re
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
Address = NewType("Address", str)  # "ip:port"; TCP and UDP use the same port number
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", int)
FencingNumber = NewType("FencingNumber", int)


AttemptKey = tuple[RequestId, int]  # identifies one dispatch
MAX_PORT = 65_535
MAX_HOST_NAME_LENGTH = 253
HOST_LABEL_PATTERN = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
MAX_COUNT_DIGITS = 18  # longer numbers are no counts, and int() refuses very long ones


def parse_count(text: str) -> int | None:
    """Return a number that is written in ASCII digits, or None for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


def is_address(text: str) -> bool:
    """Return whether a text has a host and a port to which one can connect.

    The host is an IPv4 address or a host name.
    """
    host, _, port = text.rpartition(":")
    return (_is_ip(host) or _is_host_name(host)) and _is_port(port)


def is_ip_address(text: str) -> bool:
    """Return whether a text has an IPv4 address and a port, as datagrams need them."""
    host, _, port = text.rpartition(":")
    return _is_ip(host) and _is_port(port)


def _is_ip(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _is_host_name(host: str) -> bool:
    labels = host.split(".")
    # A last label of digits only is part of a malformed IP address.
    return (
        len(host) <= MAX_HOST_NAME_LENGTH
        and all(map(HOST_LABEL_PATTERN.fullmatch, labels))
        and not labels[-1].isdigit()
    )


def _is_port(text: str) -> bool:
    number = parse_count(text)
    return number is not None and 1 <= number <= MAX_PORT


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base class of immutable records."""


class Event(Record):
    """Base class of the inputs of a machine."""


class Effect(Record):
    """Base class of the actions that a machine requests from the program around it."""


class Message(Record):
    """Base class of one-way messages between processes of the system."""


class Role(enum.Enum):
    """Role of a process of the system."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class MemberState(enum.Enum):
    """State of a process of the system, as seen by its peers."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class ServiceKind(enum.Enum):
    """Kind of backend that an endpoint process serves."""

    MODEL = "model"
    PLAIN = "plain"


class Outcome(enum.Enum):
    """Final outcome of a request."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Reason for the result of a request, a dispatch or an order."""

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
    """Operation that an order to an engine requests."""

    LOAD = "load"
    ACTIVATE = "activate"
    UNLOAD = "unload"
    SET_ROLE = "set role"


class KvStatus(enum.Enum):
    """Result of a call to the key-value service."""

    OK = "ok"
    CONFLICT = "conflict"  # the version or holder differs from the expected one
    ABSENT = "absent"
    UNCHANGED = "unchanged"  # a watch timed out without a change
    NOT_APPLIED = "not applied"  # it is certain that a write had no effect
    UNKNOWN = "unknown"  # a write may or may not have taken effect


class Identity(Record):
    """Identity of a process of the system.

    :param address: address for other processes of the system.
    :param http_address: address for callers and operators; entries only.
    """

    instance_id: InstanceId
    role: Role
    incarnation: Incarnation
    zone: ZoneName
    region: RegionName
    address: Address
    http_address: Address = Address("")


class TeamShare(Record):
    """Weight of a team among the teams that share a service."""

    team: TeamName
    weight: float


class Departure(Record):
    """An instance that has to leave before a maintenance window of its provider.

    :param window_start_s: start of the window in seconds since the epoch.
    """

    instance_id: InstanceId
    window_start_s: float
    window_end_s: float


class Intent(Record):
    """Operator's declaration of one service.

    :param floor: minimum number of complete and verified replicas at any time.
    :param origin_weight: 0 favours a short time to N replicas, 1 favours few bytes from
        the origin.
    :param repeatable: whether calls of the service may be repeated by default.
    :param weights_bytes: size of the version's weights, for plans; 0 if unknown.
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

    Changes form one sequence, ordered by ``revision``. Each contains the intents that
    it sets and the names of the services that it removes.
    """

    revision: Revision
    operation_id: OperationId
    plan_id: PlanId
    intents: tuple[Intent, ...]
    removed: tuple[ServiceName, ...] = ()


class Load(Record):
    """Load of an endpoint, sent by its process with reports and answers.

    :param limit: maximum number of requests that the process runs concurrently.
    :param service_time_s: smoothed service time of one request.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    service_time_s: float = 0.0


class Report(Message):
    """Status report of an endpoint process, sent to the entries once a second.

    :param version: the version that is complete, verified and served.
    :param sequence: increases with each report of one incarnation.
    :param target_version: the version being transferred, if any.
    :param offers: the one plain service that the endpoint can serve; empty for engines.
    :param staged_chunks: number of the ``target_chunks`` that are held and verified.
    :param relay: the entry that forwards the report, if it is not sent to all entries.
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
    """Controller's order to an endpoint process: what to serve.

    :param fence: the fencing number of the controller's lease; an order with a lower
        number than the highest one seen is refused.
    :param sequence: number of the order under its fencing number. It prevents a delayed
        or duplicated order from undoing a later one.
    :param service: the service to serve; empty for none.
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

    :param budget_s: remaining time until the deadline.
    :param priority: 0 is the most urgent.
    :param prefix_hash: hash of the start of the prompt, for prefix caches.
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
    """One attempt of a request, sent by an entry to an endpoint process.

    :param attempt: identifies the dispatch among those of the request. The number
        starts at a random value and increases with each dispatch at the entry, so that
        a request that a caller repeats with the same id is not mistaken for a late
        copy.
    :param budget_s: remaining time of the request when the dispatch is sent.
    :param endpoint_incarnation: incarnation that the dispatch is for. A restarted
        process refuses it because it does not know what its predecessor did. 0 means
        any.
    :param resume_from_bytes: number of payload bytes of a broken stream that the caller
        already has. The frames of this attempt start at the next byte and carry its
        position in ``offset_bytes``. An endpoint that cannot resume there refuses.
    :param resume_from_events: the same position as a count of complete server-sent
        events.
    :param resume_version: the version that generated the bytes so far. An endpoint that
        serves another version refuses because an answer must not mix versions.
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
    """Last frame of an answer; an answer without it is incomplete.

    :param frames: number of payload frames before this one.
    :param payload_bytes: total size of the payload.
    :param checksum: xxh64 of the payload as 16 hex digits.
    :param status: HTTP status of the answer of a plain service.
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
    """A part of the payload of an answer.

    :param sequence: number of the frame within its attempt, from 0.
    :param offset_bytes: position of the payload in the answer, in an attempt that
        resumes a broken stream; 0 otherwise.
    :param version: the version that generates the answer; on the first frame only.
    """

    request_id: RequestId
    attempt: int
    sequence: int
    payload: bytes
    offset_bytes: int = 0
    version: VersionName = VersionName("")


class EngineStatus(Record):
    """Status that an engine reports, with a delay.

    :param digests: hash that the engine computed over the weights it holds, by complete
        version. It equals the manifest's ``weights_hash`` if the weights are complete
        and intact.
    """

    fence: FencingNumber = FencingNumber(0)
    active_version: VersionName = VersionName("")
    digests: dict[VersionName, str] = {}
    adapters: tuple[AdapterName, ...] = ()
    running: int = 0
    queued: int = 0
