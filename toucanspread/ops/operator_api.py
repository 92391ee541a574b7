"""HTTP API of an entry for operators: plans, confirmations, status, metrics.

``POST /v1/plans`` and ``POST /v1/confirmations`` post one event to the machine and
answer with the effect that has the same operation id. ``GET /v1/status`` and
``GET /v1/intents`` read the node's state.
"""

import itertools
import json
from collections.abc import Mapping

import msgspec
from twisted.web import resource, server

from toucanspread.core import data, decoder
from toucanspread.core.agreement import confirmations, plan_requests
from toucanspread.ops import runtime, status
from toucanspread.ops.telemetry import metrics

MAX_BODY_BYTES = 1024 * 1024
HTTP_STATUS_BY_VERDICT = {
    confirmations.Verdict.ACCEPTED: 200,
    confirmations.Verdict.CONFLICT: 409,
    confirmations.Verdict.NOT_ACCEPTED: 503,
    confirmations.Verdict.UNKNOWN: 503,
}


class PlanProposal(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request for a plan."""

    intents: tuple[data.Intent, ...] = ()
    removed: tuple[data.ServiceName, ...] = ()


class Confirmation(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a confirmation; it contains all that the plan was made from."""

    plan_id: data.PlanId
    base_revision: data.Revision
    intents: tuple[data.Intent, ...] = ()
    removed: tuple[data.ServiceName, ...] = ()


class OperatorApi(runtime.Adapter):
    """Answers operators' requests from a runtime."""

    def __init__(self, node_runtime: runtime.Runtime):
        self._runtime = node_runtime
        self._operation_numbers = itertools.count(1)
        self._pending_requests: dict[data.OperationId, server.Request] = {}

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of the answers to plans and confirmations."""
        return {
            plan_requests.PlanAnswered: self._answer_plan,
            confirmations.ConfirmAnswered: self._answer_confirmation,
        }

    def resources(self) -> dict[bytes, resource.Resource]:
        """Return the resources below ``/v1``, by their path segment."""
        return {
            b"plans": _PostResource(PlanProposal, self._request_plan),
            b"confirmations": _PostResource(Confirmation, self._request_confirmation),
            b"status": _GetResource(
                lambda: status.build_entry_status(self._runtime.node)
            ),
            b"intents": _GetResource(
                lambda: status.build_config_status(self._runtime.node)
            ),
        }

    def _request_plan(self, request: server.Request, body: PlanProposal) -> None:
        operation_id = self._register_request(request)
        self._runtime.post(
            plan_requests.PlanRequested(operation_id, body.intents, body.removed)
        )

    def _request_confirmation(
        self, request: server.Request, body: Confirmation
    ) -> None:
        operation_id = self._register_request(request)
        event = confirmations.ConfirmRequested(
            operation_id,
            body.base_revision,
            body.intents,
            body.removed,
            body.plan_id,
        )
        self._runtime.post(event)

    def _register_request(self, request: server.Request) -> data.OperationId:
        identity = self._runtime.node.identity
        number = next(self._operation_numbers)
        operation_id = data.OperationId(
            f"{identity.instance_id}/{identity.incarnation}/{number}"
        )
        self._pending_requests[operation_id] = request
        request.notifyFinish().addBoth(
            lambda _: self._pending_requests.pop(operation_id, None)
        )
        return operation_id

    def _answer_plan(self, effect: plan_requests.PlanAnswered) -> None:
        self._reply(effect.operation_id, 422 if effect.problems else 200, effect)

    def _answer_confirmation(self, effect: confirmations.ConfirmAnswered) -> None:
        request = self._pending_requests.get(effect.operation_id)
        if request is not None and effect.retry_after_s:
            request.setHeader("Retry-After", f"{effect.retry_after_s:.0f}")
        self._reply(effect.operation_id, HTTP_STATUS_BY_VERDICT[effect.verdict], effect)

    def _reply(
        self, operation_id: data.OperationId, code: int, answer: data.Effect
    ) -> None:
        request = self._pending_requests.get(operation_id)
        if request is None:
            return
        request.setResponseCode(code)
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode(answer))
        request.finish()


class _PostResource(resource.Resource):
    """Accepts POST requests with a JSON body of one type."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, body_type: type, handler):
        super().__init__()
        self._decoder = decoder.JsonDecoder(body_type)
        self._handler = handler

    def render_POST(self, request: server.Request):  # noqa: N802 (twisted's name)
        """Decode the body and pass it to the handler."""
        payload = request.content.read(MAX_BODY_BYTES + 1)
        if len(payload) > MAX_BODY_BYTES:
            return render_error(request, 413, f"body above {MAX_BODY_BYTES} bytes")
        try:
            body = self._decoder.decode(payload)
        except decoder.MalformedError as error:
            return render_error(request, 400, f"malformed body: {error}")
        self._handler(request, body)
        return server.NOT_DONE_YET


class _GetResource(resource.Resource):
    """Answers GET requests with a part of the state as JSON."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, read_state):
        super().__init__()
        self._read_state = read_state

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the current state."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._read_state())


class MetricsResource(resource.Resource):
    """Serves ``/metrics`` to the scraper."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return all metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return metrics.render_exposition()


def render_error(request: server.Request, code: int, why: str) -> bytes:
    """Set an error status on a response and return its JSON body."""
    request.setResponseCode(code)
    request.setHeader("Content-Type", "application/json")
    return json.dumps({"error": why}).encode()
