"""Checks that an endpoint process serves what a dispatch names, from verified weights.

The engine's own last status decides, not what the engine was ordered to load.
"""

from toucanspread.core import data


def find_mismatch(node, dispatch: data.Dispatch) -> tuple[data.Reason, str]:
    """Return why this process cannot serve a dispatch now, or NONE."""
    reason, detail = _find_request_mismatch(node, dispatch.request)
    if reason is not data.Reason.NONE:
        return reason, detail
    return _find_resume_mismatch(node, dispatch)


def has_verified_weights(node) -> bool:
    """Return whether the engine reports the served version active and complete."""
    serving, status = node.orders.serving, node.dispatches.engine_status
    if serving is None or status is None:
        return False
    if status.active_version != serving.version:
        return False
    return status.digests.get(serving.version) == serving.weights_hash


def _find_request_mismatch(node, request: data.Request) -> tuple[data.Reason, str]:
    """Return why the served version does not match a request, or NONE."""
    serving = node.orders.serving
    if serving is None:
        return data.Reason.NOT_WHOLE, "nothing is served yet"
    if request.service != serving.service:
        return data.Reason.UNKNOWN_SERVICE, f"serves {serving.service}"
    if serving.kind is data.ServiceKind.PLAIN:
        return data.Reason.NONE, ""
    if request.model and request.model != serving.model:
        return data.Reason.WRONG_VERSION, f"serves model {serving.model}"
    if request.version and request.version != serving.version:
        return data.Reason.WRONG_VERSION, f"serves version {serving.version}"
    if request.adapter and request.adapter not in serving.adapters:
        return data.Reason.WRONG_VERSION, f"no adapter {request.adapter}"
    status = node.dispatches.engine_status
    if status is None:
        return data.Reason.ENGINE_FAILED, "the engine does not answer"
    if not has_verified_weights(node):
        return data.Reason.NOT_WHOLE, "the engine does not hold the version"
    if request.adapter and request.adapter not in status.adapters:
        return data.Reason.NOT_WHOLE, f"adapter {request.adapter} is not loaded"
    return data.Reason.NONE, ""


def _find_resume_mismatch(node, dispatch: data.Dispatch) -> tuple[data.Reason, str]:
    """Return why a broken answer cannot be resumed here, or NONE."""
    if not dispatch.resume_from_bytes:
        return data.Reason.NONE, ""
    serving = node.orders.serving
    if serving.kind is data.ServiceKind.PLAIN:
        return data.Reason.BAD_REQUEST, "a plain service's answer cannot be resumed"
    if not dispatch.resume_version or dispatch.resume_version != serving.version:
        began = dispatch.resume_version
        return data.Reason.WRONG_VERSION, f"the answer was begun by {began!r}"
    return data.Reason.NONE, ""
