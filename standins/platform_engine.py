"""Stand-ins for an engine and for the origin of weights, with the platform's calls.

They answer at once and have no faults; tests read from their attributes what they
received.
"""

import hashlib
import json
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.web import resource, server

from standins import backoff_check, engine_leaving_check

ENTRY_ID_LENGTH = 2  # characters
ANSWER_BODY = bytes(range(256)) * 40  # no text, and larger than one segment
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
BORN_MS = 1771433930076
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"
STAGE_PUT_PATH = "/-/stage-put/"
STAGE_GET_PATH = "/-/stage-get/"
MANIFEST_PATH = "/-/manifest/"
PIECE_PATH = "/-/piece/"


class EngineRequest(NamedTuple):
    """A request of a caller, as an engine received it.

    :param headers: first value of each header, by its name in lower case.
    :param received_s: when it came, on the monotonic clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_s: float


class Rejection(NamedTuple):
    """How an engine rejects requests.

    :param retry_after: value of the header of this name; None for none.
    :param says_not_run: whether it states that it has not run the request.
    """

    retry_after: str | None = None
    status: int = 503
    says_not_run: bool = True


class EngineResource(resource.Resource):
    """An engine that gives callers a sealed answer and loads staged weights at once.

    :param model: name of its model.
    :ivar version: version of the weights that it holds.
    :ivar pieces: staged pieces by their number.
    :ivar orders: accepted orders.
    :ivar requests: requests of callers.
    :ivar report_count: number of reports that were read.
    :ivar limit_per_s: requests per second that it names as its limit in its answers to
        callers; None for no limit.
    :ivar rejection: how it rejects requests of callers; None while it serves them.
    :ivar is_leaving: whether it says in its answers to callers that it leaves.
    :ivar backoff: checks what it receives while it wants no requests.
    :ivar leaving: checks what it receives once it has said that it leaves.
    :ivar crashing_part: id of a part of prompts on which it crashes; None for none.
    :ivar crashing_request: target and body of requests on which it crashes.
    :ivar born_ms: start of its present incarnation.
    :ivar crashes_s: times of its crashes; it is back at once.
    :ivar on_crash: called after each crash.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, model: str):
        super().__init__()
        self.model = model
        self.version = 1
        self.pieces: dict[int, bytes] = {}
        self.orders: list[dict] = []
        self.requests: list[EngineRequest] = []
        self.report_count = 0
        self.limit_per_s: float | None = None
        self.rejection: Rejection | None = None
        self.is_leaving = False
        self.backoff = backoff_check.BackoffRecord()
        self.leaving = engine_leaving_check.LeavingRecord()
        self.crashing_part: str | None = None
        self.crashing_request: tuple[str, bytes] | None = None
        self.born_ms = BORN_MS
        self.crashes_s: list[float] = []
        self.on_crash: Callable[[], None] = lambda: None

    def render(self, request: server.Request) -> bytes | int:
        """Answer a request of a caller or a call of the system."""
        path = request.path.decode()
        if path == REPORT_PATH:
            self.report_count += 1
            return msgspec.json.encode(self._make_report())
        if path == ORDER_PATH:
            return self._accept_order(request)
        if path.startswith(STAGE_PUT_PATH):
            self.pieces[_get_number(request)] = request.content.read()
            return b""
        if path.startswith(STAGE_GET_PATH):
            return self._read_staged(request)
        return self._answer_caller(request)

    def _make_report(self) -> dict:
        return {
            "stage": "both",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": False,
            "sequence": len(self.orders),
            "queued": 0,
            "active": 0,
            "pace": 1.0,
            "born": self.born_ms,
        }

    def _accept_order(self, request: server.Request) -> bytes:
        order = json.load(request.content)
        if order["expected"] != len(self.orders):
            request.setResponseCode(409)
            return b""
        self.orders.append(order)
        self.version = order["version"]
        request.setResponseCode(202)
        return b""

    def _read_staged(self, request: server.Request) -> bytes:
        if b"num" not in request.args:
            return msgspec.json.encode({"held": sorted(self.pieces)})
        piece = self.pieces.get(_get_number(request))
        if piece is None:
            request.setResponseCode(404)
            return b""
        return piece

    def _crash(self, request: server.Request) -> int:
        self.crashes_s.append(time.monotonic())
        self.born_ms += 1
        request.transport.abortConnection()
        self.on_crash()
        return server.NOT_DONE_YET

    def _answer_caller(self, request: server.Request) -> bytes | int:
        headers = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        method, target = request.method.decode(), request.uri.decode()
        body = request.content.read()
        now_s = time.monotonic()
        self.requests.append(EngineRequest(method, target, headers, body, now_s))
        is_crashing = self.crashing_request == (target, body)
        if is_crashing or self.crashing_part in _list_parts(headers):
            return self._crash(request)
        entry = get_entry(headers["x-attempt-id"])
        self.backoff.record_arrival(now_s, entry)
        self.leaving.record_arrival(now_s, entry)
        self.leaving.record_answer(now_s, entry, self.is_leaving)
        request.setHeader("x-attempt-id", headers["x-attempt-id"])
        if self.limit_per_s is not None:
            request.setHeader("server-limit", str(self.limit_per_s))
        if self.is_leaving:
            request.setHeader("server-leaving", "1")
        if self.rejection is not None:
            return self._reject(request, self.rejection, entry)
        request.setHeader("x-response-seal", SEAL)
        request.setHeader("content-type", "application/x-own")
        return ANSWER_BODY

    def _reject(
        self, request: server.Request, rejection: Rejection, entry: str
    ) -> bytes:
        request.setResponseCode(rejection.status)
        if rejection.says_not_run:
            request.setHeader("x-not-executed", "1")
        else:
            request.setHeader("x-response-seal", SEAL)
        if rejection.retry_after is not None:
            request.setHeader("retry-after", rejection.retry_after)
            self.backoff.record_answer(
                time.monotonic(), entry, backoff_check.read(rejection.retry_after)
            )
        return b""


class OriginResource(resource.Resource):
    """The service with all weights.

    :param pieces: the pieces of its only version, in order.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, pieces: list[bytes]):
        super().__init__()
        self.pieces = pieces

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Serve the manifest or a piece."""
        path = request.path.decode()
        if path.startswith(MANIFEST_PATH):
            digests = [hashlib.sha256(piece).hexdigest() for piece in self.pieces]
            return msgspec.json.encode({"digests": digests})
        if path.startswith(PIECE_PATH):
            return self.pieces[_get_number(request)]
        request.setResponseCode(404)
        return b""


def get_entry(attempt_id: str) -> str:
    """Return the entry of a request, which callers in tests put first in its id."""
    return attempt_id[:ENTRY_ID_LENGTH]


def _list_parts(headers: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a prompt."""
    parts = headers.get("x-prompt-prefix", "").split(",")
    return [part.partition(":")[0].strip() for part in parts]


def _get_number(request: server.Request) -> int:
    return int(request.args[b"num"][0])
