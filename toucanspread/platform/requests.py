"""The headers of callers' requests and engines' answers on the platform."""

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions
from toucanspread.ops import dialect, http1

ATTEMPT_ID = b"X-Attempt-Id"  # names one attempt of a caller, not one of ours
TIMEOUT = b"X-Timeout-Ms"
TENANT = b"X-Tenant"
EXPECT_INSTANCE = b"X-Expect-Instance"
EXPECT_VERSION = b"X-Expect-Version"
PRIORITY = b"X-Request-Priority"
INSTANCE = b"x-instance-id"
SEAL = b"x-response-seal"
NOT_EXECUTED = b"x-not-executed"
EVENT_STREAM = b"text/event-stream"
# Set by this system, whatever the caller sent; and the key, which stays here.
REPLACED = frozenset(
    {
        b"api-key",
        b"last-event-id",
        b"path",
        b"x-attempt-id",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-tenant",
        b"x-timeout-ms",
    }
)


class PlatformDialect(dialect.Dialect):
    """Reads and writes those headers."""

    def read_call(self, head: http1.RequestHead) -> entry_data.Call | None:
        """Return what a request says; one without id or host says too little."""
        attempt_id = head.get(b"x-attempt-id")
        host = head.get(b"host")
        if not attempt_id or not host:
            return None
        path = head.target.partition(b"?")[0].decode("latin-1")
        usage = _numbers(head.get(b"x-token-usage"))
        return entry_data.Call(
            _text(attempt_id),
            _text(host).partition(":")[0].lower(),
            path,
            _optional(head.get(b"api-key")),
            _seconds(head.get(b"x-timeout-ms")),
            _optional(head.get(b"last-event-id")),
            _text(head.get(b"x-model") or b""),
            usage[0],
            usage[1],
            _whole_number(head.get(b"x-length-hint")),
        )

    def make_engine_head(
        self,
        head: http1.RequestHead,
        dispatch: decisions.SendToEngine,
        team: data.TeamName | None,
    ) -> http1.RequestHead:
        """Return the head for an engine."""
        headers = head.get_forwardable_headers(REPLACED)
        headers.append(http1.Header(ATTEMPT_ID, head.get(b"x-attempt-id")))
        budget_ms = max(int(dispatch.budget_s * 1000), 1)
        headers.append(http1.Header(TIMEOUT, b"%d" % budget_ms))
        headers.append(http1.Header(EXPECT_INSTANCE, dispatch.engine_id.encode()))
        if dispatch.expected_version:
            version = b"%d" % dispatch.expected_version
            headers.append(http1.Header(EXPECT_VERSION, version))
        if dispatch.priority is not None:
            headers.append(http1.Header(PRIORITY, b"%d" % dispatch.priority))
        if dispatch.last_event_id is not None:
            last_id = dispatch.last_event_id.encode("latin-1")
            headers.append(http1.Header(b"Last-Event-Id", last_id))
        if team is not None:
            headers.append(http1.Header(TENANT, team.encode()))
        return http1.RequestHead(head.method, head.target, headers)

    def read_answer(
        self, head: http1.AnswerHead, call: entry_data.Call
    ) -> dialect.AnswerFacts:
        """Return what an answer says of itself."""
        echoed = head.get(b"x-attempt-id")
        content = head.get(b"content-type") or b""
        return dialect.AnswerFacts(
            is_for_request=_is_own(echoed, head.status, call),
            is_sealed=head.get(SEAL) is not None,
            not_run=head.get(NOT_EXECUTED) is not None or head.status == 421,
            instance=_text(head.get(INSTANCE) or b""),
            is_stream=content.startswith(EVENT_STREAM),
        )

    def make_own_answer_headers(
        self, call: entry_data.Call | None, retry_after_s: float | None
    ) -> list[http1.Header]:
        """Return the headers of an answer that no engine gave."""
        headers = []
        if call is not None:
            attempt_id = call.attempt_id.encode("latin-1")
            headers.append(http1.Header(ATTEMPT_ID, attempt_id))
        if retry_after_s is not None:
            seconds = f"{retry_after_s:.2f}".encode()
            headers.append(http1.Header(b"Retry-After", seconds))
        return headers


def _is_own(echoed: bytes | None, status: int, call: entry_data.Call) -> bool:
    if echoed is None:
        # A refusal may come without the id; an answer that counts may not.
        return status >= 300
    return _text(echoed) == call.attempt_id


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _optional(value: bytes | None) -> str | None:
    return None if value is None else _text(value)


def _seconds(value: bytes | None) -> float | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000


def _whole_number(value: bytes | None) -> int:
    if value is None or not value.strip().isdigit():
        return 0
    return int(value)


def _numbers(value: bytes | None) -> tuple[int, int]:
    parts = (value or b"").split(b",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return (0, 0)
    return (int(parts[0]), int(parts[1]))
