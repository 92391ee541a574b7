"""HTTP API of an entry for callers: addresses and requests.

``GET /v1/addresses`` returns the entries to use. ``POST /v1/requests/<service>``
streams the answer of a model as server-sent events, or returns the answer of a plain
service once it is complete. An interrupted stream ends with ``event: error`` and
without its final chunk.
"""

import asyncio
import itertools
import math
from collections.abc import Mapping

import msgspec
from twisted.internet import reactor
from twisted.web import resource, server

from toucanspread.core import data
from toucanspread.core.requests import entry_selection, request_events, request_state
from toucanspread.ops import (
    caller_input,
    dispatcher,
    loop,
    open_connections,
    runtime,
)
from toucanspread.ops.telemetry import logs

MAX_PLAIN_ANSWER_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_BODY_BYTES = 32 * 1024 * 1024  # bodies of all requests in progress
OVERLOADED_RETRY_AFTER_S = 1.0
MAX_DELIVERY_S = 10.0  # a caller that reads nothing for so long is gone
STATUS_BY_REASON = {
    data.Reason.BAD_REQUEST: 400,
    data.Reason.UNKNOWN_SERVICE: 404,
    data.Reason.OVERLOADED: 429,
    data.Reason.DEADLINE: 504,
}
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DUPLICATE_STATUS = 409


class RequestOutcome(msgspec.Struct, omit_defaults=True):
    """Outcome of a request, sent to the caller as JSON."""

    request_id: data.RequestId
    outcome: data.Outcome
    reason: data.Reason
    version: data.VersionName = data.VersionName("")
    retry_after_s: float = 0.0
    addresses: tuple[data.Address, ...] = ()
    detail: str = ""


class AddressList(msgspec.Struct):
    """Addresses of the entries that a caller should use, sent as JSON.

    :param lifetime_s: time for which the caller may cache the addresses.
    """

    addresses: tuple[data.Address, ...]
    lifetime_s: float


class PendingRequest:
    """A caller's request that is not answered yet.

    :param is_streamed: whether the answer is relayed as a stream.
    :ivar attempt: the attempt that ``answer`` belongs to.
    :ivar answer: answer so far, if it is not streamed.
    :ivar writable: set while the caller's connection accepts more data.
    """

    def __init__(self, http: server.Request, body: bytes, is_streamed: bool):
        self.http = http
        self.body = body
        self.is_streamed = is_streamed
        self.attempt = 0
        self.is_stream_started = False
        self.answer = bytearray()
        self.writable = asyncio.Event()
        self.writable.set()

    def pauseProducing(self) -> None:  # noqa: N802 (name given by Twisted)
        """Pause the answer while the caller reads slowly."""
        self.writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802 (name given by Twisted)
        """Resume the answer."""
        self.writable.set()

    def stopProducing(self) -> None:  # noqa: N802 (name given by Twisted)
        """Release a waiting relay, since the caller has disconnected."""
        self.writable.set()


class CallerApi(runtime.Adapter, dispatcher.AnswerSink):
    """Serves the callers of one entry.

    :param host: runtime that the events are posted to.
    :param http_address: ``ip:port`` to listen on.
    :param v1: further resources below ``/v1``, by name.
    :param root: further resources at the root, by name.
    """

    def __init__(
        self,
        host: runtime.Runtime,
        http_address: data.Address,
        max_body_bytes: int = 1024 * 1024,
        v1: Mapping[bytes, resource.Resource] | None = None,
        root: Mapping[bytes, resource.Resource] | None = None,
    ):
        self._host = host
        self._http_address = http_address
        self._sequence_numbers = itertools.count(1)
        self._address_queries: dict[data.OperationId, server.Request] = {}
        self._pending: dict[data.RequestId, PendingRequest] = {}
        self._body_bytes = 0
        self._listener = None
        self._connections: open_connections.OpenConnections | None = None
        self.site = build_site(self, max_body_bytes, v1 or {}, root or {})

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of effects that answer callers."""
        return {
            request_events.FinishRequest: self._finish_request,
            entry_selection.ReturnAddresses: self._answer_addresses,
        }

    async def start(self) -> None:
        """Listen."""
        interface, _, port = self._http_address.rpartition(":")
        self._connections = open_connections.OpenConnections(self.site)
        self._listener = reactor.listenTCP(
            int(port), self._connections, interface=interface
        )

    async def stop(self) -> None:
        """Stop listening, and wait until callers have read their answers.

        A second call does not wait.
        """
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        await loop.as_future(listener.stopListening())
        if not await self._connections.close_all(MAX_DELIVERY_S):
            logs.write(
                "answers_undelivered", connections=len(self._connections.protocols)
            )

    def request_addresses(self, http: server.Request) -> None:
        """Request the addresses of entries for a caller."""
        operation_id = data.OperationId(f"addresses/{next(self._sequence_numbers)}")
        self._address_queries[operation_id] = http
        team = caller_input.get_query_argument(http, "team")
        service = caller_input.get_query_argument(http, "service")
        self._host.post(
            entry_selection.AddressesRequested(
                operation_id, data.TeamName(team), data.ServiceName(service)
            )
        )

    def accept_request(self, http: server.Request, service: str) -> None:
        """Check a caller's request and post it to the machine."""
        node = self._host.node
        number = next(self._sequence_numbers)
        generated_id = (
            f"{node.identity.instance_id}-{node.identity.incarnation}-{number}"
        )
        name = data.ServiceName(service)
        kind = request_state.find_service_kind(node, name)
        repeatable = request_state.is_repeatable_by_default(node, name)
        body = http.content.read()
        try:
            request = caller_input.parse_request(
                http, name, kind, repeatable, generated_id, body
            )
        except caller_input.InputError as error:
            self._refuse_input(http, generated_id, str(error))
            return
        if request.request_id in self._pending:
            self._refuse_duplicate(http, request.request_id)
            return
        if self._body_bytes + len(body) > MAX_BUFFERED_BODY_BYTES:
            self._refuse_overloaded(http, request.request_id)
            return
        is_streamed = kind is data.ServiceKind.MODEL
        pending = PendingRequest(http, body, is_streamed)
        self._pending[request.request_id] = pending
        self._body_bytes += len(body)
        http.notifyFinish().addErrback(
            lambda _: self._on_caller_disconnected(request.request_id, pending)
        )
        self._host.post(request_events.RequestReceived(request))

    def get_body(self, request_id: data.RequestId) -> bytes:
        """Return the body of a request."""
        return self._pending[request_id].body

    def write(self, request_id: data.RequestId, attempt: int, payload: bytes) -> None:
        """Relay a part of an answer, or keep it until the answer is complete."""
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if pending.is_streamed:
            self._start_stream(request_id, pending)
            pending.http.write(payload)
            return
        if pending.attempt != attempt:
            pending.attempt = attempt
            pending.answer.clear()
        pending.answer += payload

    def get_max_answer_bytes(self, request_id: data.RequestId) -> float:
        """Return the maximum size of an answer; infinite for a stream."""
        pending = self._pending.get(request_id)
        if pending is None or pending.is_streamed:
            return math.inf
        return MAX_PLAIN_ANSWER_BYTES

    async def wait_until_writable(self, request_id: data.RequestId) -> None:
        """Wait until the caller's connection accepts more data."""
        pending = self._pending.get(request_id)
        if pending is not None:
            await pending.writable.wait()

    def _start_stream(
        self, request_id: data.RequestId, pending: PendingRequest
    ) -> None:
        if pending.is_stream_started:
            return
        pending.is_stream_started = True
        pending.http.setHeader("Content-Type", "text/event-stream")
        pending.http.setHeader("Cache-Control", "no-store")
        pending.http.setHeader("X-Request-Id", request_id)
        pending.http.registerProducer(pending, True)

    def _remove(self, request_id: data.RequestId) -> PendingRequest | None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._body_bytes -= len(pending.body)
        return pending

    def _on_caller_disconnected(
        self, request_id: data.RequestId, pending: PendingRequest
    ) -> None:
        pending.writable.set()
        if self._pending.get(request_id) is pending:
            self._remove(request_id)
            self._host.post_soon(request_events.CallerDisconnected(request_id))

    def _finish_request(self, effect: request_events.FinishRequest) -> None:
        pending = self._remove(effect.request_id)
        if pending is None:
            return
        pending.writable.set()
        outcome = RequestOutcome(
            effect.request_id,
            effect.outcome,
            effect.reason,
            effect.version,
            round(effect.retry_after_s, 3),
            effect.addresses,
            effect.detail,
        )
        if effect.outcome is not data.Outcome.DONE and not pending.is_stream_started:
            self._refuse(pending.http, outcome)
        elif pending.is_streamed:
            self._end_stream(pending, outcome)
        else:
            self._send_whole_answer(pending, effect)

    def _end_stream(self, pending: PendingRequest, outcome: RequestOutcome) -> None:
        self._start_stream(outcome.request_id, pending)
        http = pending.http
        http.unregisterProducer()
        payload = msgspec.json.encode(outcome)
        if outcome.outcome is data.Outcome.DONE:
            self._close_when_leaving(http)
            http.write(b"event: end\ndata: " + payload + b"\n\n")
            http.finish()
            return
        http.write(b"event: error\ndata: " + payload + b"\n\n")
        # Without the final chunk, clients recognise the answer as incomplete.
        http.loseConnection()

    def _send_whole_answer(
        self, pending: PendingRequest, effect: request_events.FinishRequest
    ) -> None:
        http = pending.http
        http.setResponseCode(effect.status)
        http.setHeader("Content-Type", "application/json")
        http.setHeader("Content-Length", str(len(pending.answer)))
        http.setHeader("X-Request-Id", effect.request_id)
        http.setHeader("X-Outcome", effect.outcome.value)
        self._close_when_leaving(http)
        http.write(bytes(pending.answer))
        http.finish()

    def _close_when_leaving(self, http: server.Request) -> None:
        """Close the connection after this answer if the entry drains."""
        if self._host.node.draining.is_active and http.channel is not None:
            http.setHeader("Connection", "close")
            http.channel.persistent = False

    def _refuse(self, http: server.Request, outcome: RequestOutcome) -> None:
        status = UNKNOWN_STATUS
        if outcome.reason is data.Reason.DUPLICATE:
            status = DUPLICATE_STATUS
        elif outcome.outcome is data.Outcome.NOT_RUN:
            status = STATUS_BY_REASON.get(outcome.reason, NOT_RUN_STATUS)
        http.setHeader("X-Request-Id", outcome.request_id)
        http.setHeader("X-Outcome", outcome.outcome.value)
        if outcome.retry_after_s:
            http.setHeader("Retry-After", str(math.ceil(outcome.retry_after_s)))
        self._close_when_leaving(http)
        send_json(http, status, outcome)

    def _refuse_input(self, http: server.Request, request_id: str, why: str) -> None:
        outcome = RequestOutcome(
            data.RequestId(request_id),
            data.Outcome.NOT_RUN,
            data.Reason.BAD_REQUEST,
            detail=why,
        )
        self._refuse(http, outcome)

    def _refuse_overloaded(
        self, http: server.Request, request_id: data.RequestId
    ) -> None:
        outcome = RequestOutcome(
            request_id,
            data.Outcome.NOT_RUN,
            data.Reason.OVERLOADED,
            retry_after_s=OVERLOADED_RETRY_AFTER_S,
            detail="too many bodies are held",
        )
        self._refuse(http, outcome)

    def _refuse_duplicate(
        self, http: server.Request, request_id: data.RequestId
    ) -> None:
        detail = "a request with this id is in progress"
        outcome = RequestOutcome(
            request_id, data.Outcome.UNKNOWN, data.Reason.DUPLICATE, detail=detail
        )
        self._refuse(http, outcome)

    def _answer_addresses(self, effect: entry_selection.ReturnAddresses) -> None:
        http = self._address_queries.pop(effect.operation_id)
        self._close_when_leaving(http)
        send_json(http, 200, AddressList(effect.addresses, effect.lifetime_s))


class AddressesResource(resource.Resource):
    """Resource ``/v1/addresses``."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, api: CallerApi):
        super().__init__()
        self._api = api

    def render_GET(self, request: server.Request) -> int:  # noqa: N802
        """Return the addresses of the entries to use."""
        self._api.request_addresses(request)
        return server.NOT_DONE_YET


class RequestsResource(resource.Resource):
    """Resource ``/v1/requests/<service>``."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, api: CallerApi):
        super().__init__()
        self._api = api

    def render_POST(self, request: server.Request) -> int:  # noqa: N802
        """Accept a request for a service."""
        service = b"/".join(request.postpath).decode(errors="replace")
        self._api.accept_request(request, service)
        return server.NOT_DONE_YET


class HealthResource(resource.Resource):
    """Resource ``/healthz``."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Confirm that the process responds."""
        return b"ok\n"


def build_site(
    api: CallerApi,
    max_body_bytes: int,
    v1: Mapping[bytes, resource.Resource],
    root: Mapping[bytes, resource.Resource],
) -> server.Site:
    """Return the site with the resources for callers and the given ones."""
    top = resource.Resource()
    v1_root = resource.Resource()
    top.putChild(b"v1", v1_root)
    top.putChild(b"healthz", HealthResource())
    v1_root.putChild(b"addresses", AddressesResource(api))
    v1_root.putChild(b"requests", RequestsResource(api))
    for name, extra in v1.items():
        v1_root.putChild(name, extra)
    for name, extra in root.items():
        top.putChild(name, extra)
    return server.Site(
        top, requestFactory=caller_input.make_request_class(max_body_bytes)
    )


def send_json(http: server.Request, status: int, answer: msgspec.Struct) -> None:
    """Send a complete JSON answer."""
    payload = msgspec.json.encode(answer)
    http.setResponseCode(status)
    http.setHeader("Content-Type", "application/json")
    http.setHeader("Content-Length", str(len(payload)))
    http.write(payload)
    http.finish()
