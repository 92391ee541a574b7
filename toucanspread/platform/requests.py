"""Reads and writes the headers of callers' requests and engines' answers."""

import re

from toucanspread.core import bounds, data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, engine_statement
from toucanspread.ops.forwarding import dialect
from toucanspread.ops.http import http1

ATTEMPT_ID_HEADER = b"X-Attempt-Id"  # an attempt of the caller, not one of this system
TIMEOUT_HEADER = b"X-Timeout-Ms"
TEAM_HEADER = b"X-Tenant"  # the platform's name for a team
EXPECTED_INSTANCE_HEADER = b"X-Expect-Instance"
EXPECTED_VERSION_HEADER = b"X-Expect-Version"
PRIORITY_HEADER = b"X-Request-Priority"
INSTANCE_HEADER = b"x-instance-id"
SEAL_HEADER = b"x-response-seal"  # answers without an engine's seal are not relayed
NOT_RUN_HEADER = b"x-not-executed"
LIMIT_HEADER = b"server-limit"  # requests per second, from all machines together
WEIGHTS_VERSION_HEADER = b"x-weight-versions"
LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = b"1"
RETRY_AFTER_HEADER = b"retry-after"  # seconds, in a rejection with 503
# A longer time is taken for an error: an engine would get no requests for a day.
MAX_RETRY_AFTER_S = 600.0
UNAVAILABLE_STATUS = 503
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A part of a prompt: its id and the number of its tokens.
PART_PATTERN = re.compile(
    rb"[ \t]*([0-9a-fA-F]{1,%d}):([0-9]{1,%d})[ \t]*"
    % (entry_data.MAX_PART_ID_LENGTH, data.MAX_COUNT_DIGITS)
)
EVENT_STREAM_TYPE = b"text/event-stream"
# These headers of the caller are not forwarded: this system sets its own values, and
# the API key must not reach engines.
REPLACED_HEADERS = frozenset(
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
    """The dialect of the platform on which the system runs."""

    singular_answer_headers = frozenset(
        {ATTEMPT_ID_HEADER.lower(), INSTANCE_HEADER, SEAL_HEADER, NOT_RUN_HEADER}
    )

    def read_call(self, head: http1.RequestHead) -> entry_data.Call | None:
        """Return a request as described by its head; None without an id or a host."""
        attempt_id = head.get(b"x-attempt-id")
        host = head.get(b"host")
        if not attempt_id or not host:
            return None
        path = head.target.partition(b"?")[0].decode("latin-1")
        usage = _parse_token_usage(head.get(b"x-token-usage"))
        parts = _parse_parts(head.get(b"x-prompt-prefix"))
        return entry_data.Call(
            _decode_text(attempt_id),
            _decode_text(host).partition(":")[0].lower(),
            path,
            _decode_optional_text(head.get(b"api-key")),
            _parse_milliseconds(head.get(b"x-timeout-ms")),
            _decode_optional_text(head.get(b"last-event-id")),
            _decode_text(head.get(b"x-model") or b""),
            usage[0],
            usage[1],
            _parse_tokens(head.get(b"x-length-hint")) or 0,
            tuple(part.part_id for part in parts[:-1]),
            sized_parts=parts,
        )

    def make_engine_head(
        self,
        head: http1.RequestHead,
        dispatch: decisions.SendToEngine,
        team: data.TeamName | None,
    ) -> http1.RequestHead:
        """Return the head of a request that is sent to an engine."""
        headers = head.get_forwardable_headers(REPLACED_HEADERS)
        headers.append(http1.Header(ATTEMPT_ID_HEADER, head.get(b"x-attempt-id")))
        budget_ms = max(int(dispatch.budget_s * 1000), 1)
        headers.append(http1.Header(TIMEOUT_HEADER, b"%d" % budget_ms))
        headers.append(
            http1.Header(EXPECTED_INSTANCE_HEADER, dispatch.engine_id.encode())
        )
        if dispatch.expected_version:
            version = b"%d" % dispatch.expected_version
            headers.append(http1.Header(EXPECTED_VERSION_HEADER, version))
        if dispatch.priority is not None:
            headers.append(http1.Header(PRIORITY_HEADER, b"%d" % dispatch.priority))
        if dispatch.last_event_id is not None:
            last_id = dispatch.last_event_id.encode("latin-1")
            headers.append(http1.Header(b"Last-Event-Id", last_id))
        if team is not None:
            headers.append(http1.Header(TEAM_HEADER, team.encode()))
        return http1.RequestHead(head.method, head.target, headers)

    def read_answer(
        self, head: http1.AnswerHead, call: entry_data.Call
    ) -> dialect.AnswerProperties:
        """Return what the head of an engine's answer states."""
        echoed = head.get(b"x-attempt-id")
        content_type = (head.get(b"content-type") or b"").partition(b";")[0]
        return dialect.AnswerProperties(
            is_for_request=_is_for_call(echoed, head.status, call),
            is_identified=echoed is not None,
            is_sealed=head.get(SEAL_HEADER) is not None,
            not_run=head.get(NOT_RUN_HEADER) is not None or head.status == 421,
            instance=_decode_text(head.get(INSTANCE_HEADER) or b""),
            is_stream=content_type.strip().lower() == EVENT_STREAM_TYPE,
            statement=read_statement(head),
            weights_version=_parse_number(head.get(WEIGHTS_VERSION_HEADER)),
        )

    def make_own_answer_headers(
        self, call: entry_data.Call | None, retry_after_s: float | None
    ) -> list[http1.Header]:
        """Return the headers of an answer that this entry gives itself."""
        headers = []
        if call is not None:
            attempt_id = call.attempt_id.encode("latin-1")
            headers.append(http1.Header(ATTEMPT_ID_HEADER, attempt_id))
        if retry_after_s is not None:
            seconds = f"{retry_after_s:.2f}".encode()
            headers.append(http1.Header(b"Retry-After", seconds))
        return headers


def read_statement(head: http1.AnswerHead) -> engine_statement.EngineStatement:
    """Return what an engine says of itself in an answer.

    Of several times that it names, the longest one counts. Values that can't be read
    count as missing.
    """
    limit = head.get(LIMIT_HEADER)
    limit_per_s = None if limit is None else _parse_decimal(limit)
    backoffs_s = []
    if head.status == UNAVAILABLE_STATUS:
        values = head.get_all(RETRY_AFTER_HEADER)
        backoffs_s = [_parse_decimal(value, MAX_RETRY_AFTER_S) for value in values]
    leaving = [value.strip() == LEAVING_VALUE for value in head.get_all(LEAVING_HEADER)]
    unreadable = {
        LIMIT_HEADER: limit is not None and limit_per_s is None,
        RETRY_AFTER_HEADER: None in backoffs_s,
        LEAVING_HEADER: False in leaving,
    }
    return engine_statement.EngineStatement(
        limit_per_s,
        max((each for each in backoffs_s if each is not None), default=None),
        True in leaving,
        tuple(name.decode() for name, is_bad in unreadable.items() if is_bad),
    )


def _parse_decimal(value: bytes, most: float = float("inf")) -> float | None:
    """Return a decimal number; None if it is malformed or too large."""
    stripped = value.strip()
    if not DECIMAL_PATTERN.fullmatch(stripped):
        return None
    number = float(stripped)
    return number if number <= most else None


def _is_for_call(echoed: bytes | None, status: int, call: entry_data.Call) -> bool:
    if echoed is None:
        # A refusal may lack the id; a successful answer without it is not accepted.
        return status >= 300
    return _decode_text(echoed) == call.attempt_id


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _decode_optional_text(value: bytes | None) -> str | None:
    return None if value is None else _decode_text(value)


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Return a header in milliseconds as seconds, or None if it is not a number."""
    count = _parse_number(value)
    return None if count is None else count / 1000


def _parse_tokens(value: bytes | None) -> int | None:
    """Return a number of tokens; None if it is malformed or no request has as many."""
    count = _parse_number(value)
    return count if count is not None and count <= bounds.MAX_TOKENS else None


def _parse_token_usage(value: bytes | None) -> tuple[int, int]:
    """Return the numbers of prompt and output tokens; (0, 0) if malformed."""
    counts = [_parse_tokens(part) for part in (value or b"").split(b",")]
    if len(counts) != 2 or None in counts:
        return (0, 0)
    return (counts[0], counts[1])


def _parse_parts(value: bytes | None) -> tuple[entry_data.PromptPart, ...]:
    """Return all parts of a prompt; none if malformed."""
    parts = (value or b"").split(b",", entry_data.MAX_PROMPT_PARTS)
    matches = [PART_PATTERN.fullmatch(part) for part in parts]
    if len(parts) > entry_data.MAX_PROMPT_PARTS or None in matches:
        return ()
    return tuple(
        entry_data.PromptPart(
            entry_data.PromptPartId(match[1].decode("ascii").lower()),
            min(int(match[2]), bounds.MAX_TOKENS),
        )
        for match in matches
    )


def _parse_number(value: bytes | None) -> int | None:
    return None if value is None else data.parse_count(_decode_text(value))
