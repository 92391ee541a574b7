"""The moment in which an engine changes from one version to another."""

from toucanspread.core import data
from toucanspread.core.gate import dispatch_state, serving

MAX_RESTARTS = 2  # of work that the engine refused over a change of version
SWITCHING_PHASES = frozenset({serving.Phase.ACTIVATING, serving.Phase.CONFIRMING})


def is_in_progress(node) -> bool:
    """Return whether the engine is between two versions.

    Until the process knows which of the two is active, either could be refused.
    """
    return node.orders.phase in SWITCHING_PHASES


def can_restart(node, work: dispatch_state.LiveDispatch, event) -> bool:
    """Return whether a run crossed a change of version and can start anew.

    The engine refused it before anything ran, and any version will do.

    :param event: the end of the run.
    """
    served = node.orders.serving
    has_changed = served is not None and served.version != work.version
    return (
        (has_changed or is_in_progress(node))
        and event.reason is data.Reason.WRONG_VERSION
        and not event.started
        and not work.gone
        and not work.dispatch.request.version
        and work.restarts < MAX_RESTARTS
        and node.now_s < work.deadline_s
    )
