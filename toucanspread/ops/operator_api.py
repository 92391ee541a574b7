"""The operators' HTTP API of an entry: plans, confirmations, status, metrics.

``POST /v1/plans`` and ``POST /v1/confirmations`` turn a body into one event and wait
for the effect that answers it. ``GET /v1/status`` and ``GET /v1/intents`` read the
node's state.
"""

import itertools
import json
from collections.abc import Mapping

import msgspec
from twisted.web import resource, server

from toucanspread.core import data
from toucanspread.core.agreement import confirmations, plan_requests
from toucanspread.ops import metrics, runtime, status

MAX_BODY_BYTES = 1024 * 1024
HTTP_STATUS_BY_VERDICT = {
    confirmations.Verdict.ACCEPTED: 200,
    confirmations.Verdict.CONFLICT: 409,
    confirmations.Verdict.NOT_ACCEPTED: 503,
    confirmations.Verdict.UNKNOWN: 503,
}


class PlanProposal(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request for a plan."""

    intents: tuple[data.Intent, ...] = ()
    removed: tuple[data.ServiceName, ...] = ()


class Confirmation(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a confirmation; it carries all that the plan was made from."""

    plan_id: data.PlanId
    base_revision: data.Revision
    intents: tuple[data.Intent, ...] = ()
    removed: tuple[data.ServiceName, ...] = ()


class OperatorApi(runtime.Adapter):
    """Answers operators from one runtime."""

    def __init__(self, host: runtime.Runtime):
        self._runtime = host
        self._numbers = itertools.count(1)
        self._waiting: dict[data.OperationId, server.Request] = {}

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Carry out the answers to plans and confirmations."""
        return {
            plan_requests.PlanAnswered: self._answer_plan,
            confirmations.ConfirmAnswered: self._answer_confirmation,
        }

    def resources(self) -> dict[bytes, resource.Resource]:
        """Return what goes below ``/v1``, by name."""
        return {
            b"plans": _Post(PlanProposal, self._request_plan),
            b"confirmations": _Post(Confirmation, self._request_confirmation),
            b"status": _Get(lambda: status.build_entry_status(self._runtime.node)),
            b"intents": _Get(lambda: status.build_config_status(self._runtime.node)),
        }

    def _request_plan(self, request: server.Request, body: PlanProposal) -> None:
        operation_id = self._remember(request)
        self._runtime.post(
            plan_requests.PlanRequested(operation_id, body.intents, body.removed)
        )

    def _request_confirmation(
        self, request: server.Request, body: Confirmation
    ) -> None:
        operation_id = self._remember(request)
        event = confirmations.ConfirmRequested(
            operation_id,
            body.base_revision,
            body.intents,
            body.removed,
            body.plan_id,
        )
        self._runtime.post(event)

    def _remember(self, request: server.Request) -> data.OperationId:
        identity = self._runtime.node.identity
        number = next(self._numbers)
        operation_id = data.OperationId(
            f"{identity.instance_id}/{identity.incarnation}/{number}"
        )
        self._waiting[operation_id] = request
        request.notifyFinish().addBoth(lambda _: self._waiting.pop(operation_id, None))
        return operation_id

    def _answer_plan(self, effect: plan_requests.PlanAnswered) -> None:
        self._reply(effect.operation_id, 422 if effect.problems else 200, effect)

    def _answer_confirmation(self, effect: confirmations.ConfirmAnswered) -> None:
        request = self._waiting.get(effect.operation_id)
        if request is not None and effect.retry_after_s:
            request.setHeader("Retry-After", f"{effect.retry_after_s:.0f}")
        self._reply(effect.operation_id, HTTP_STATUS_BY_VERDICT[effect.verdict], effect)

    def _reply(
        self, operation_id: data.OperationId, code: int, answer: data.Effect
    ) -> None:
        request = self._waiting.get(operation_id)
        if request is None:
            return
        request.setResponseCode(code)
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode(answer))
        request.finish()


class _Post(resource.Resource):
    """Takes a JSON body of one type."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, kind: type, handler):
        super().__init__()
        self._decoder = msgspec.json.Decoder(kind)
        self._handler = handler

    def render_POST(self, request: server.Request):  # noqa: N802 (twisted's name)
        """Check the body and hand it on."""
        payload = request.content.read(MAX_BODY_BYTES + 1)
        if len(payload) > MAX_BODY_BYTES:
            return render_error(request, 413, f"body above {MAX_BODY_BYTES} bytes")
        try:
            body = self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            return render_error(request, 400, f"malformed body: {error}")
        self._handler(request, body)
        return server.NOT_DONE_YET


class _Get(resource.Resource):
    """Shows a part of the state as JSON."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, read):
        super().__init__()
        self._read = read

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the state of now."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._read())


class MetricsResource(resource.Resource):
    """``/metrics`` for the scraper."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return all metrics as text."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return metrics.render_exposition()


def render_error(request: server.Request, code: int, why: str) -> bytes:
    """Set an error status and return its JSON body."""
    request.setResponseCode(code)
    request.setHeader("Content-Type", "application/json")
    return json.dumps({"error": why}).encode()
