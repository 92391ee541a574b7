"""Dispatches that arrive or run while the engine switches to another version."""

from toucanspread.core import data
from toucanspread.core.gate import dispatch_state, serving

MAX_RESTARTS = 2  # of one dispatch that the engine refused because of a switch
SWITCHING_PHASES = frozenset({serving.Phase.ACTIVATING, serving.Phase.CONFIRMING})


def is_in_progress(node) -> bool:
    """Return whether the engine is switching versions.

    Until the process knows which of the two versions is active, the engine may refuse
    either.
    """
    return node.orders.phase in SWITCHING_PHASES


def can_restart(node, live: dispatch_state.LiveDispatch, event) -> bool:
    """Return whether a run was refused because of a switch and may start again.

    This holds if the engine refused it before anything ran, and the request does not
    name a version.

    :param event: the end of the run.
    """
    served = node.orders.serving
    has_changed = served is not None and served.version != live.version
    return (
        (has_changed or is_in_progress(node))
        and event.reason is data.Reason.WRONG_VERSION
        and not event.started
        and not live.cancelled
        and not live.dispatch.request.version
        and live.restart_count < MAX_RESTARTS
        and node.now_s < live.deadline_s
    )
