"""Drains an entry: it refuses new requests and exits once the running ones have ended.

Callers cache addresses for a while, so the entry keeps its port open for that long to
redirect them to other entries.
"""

from toucanspread.core import data, effects, events, machine
from toucanspread.core.requests import entry_selection


class State:
    """Whether this entry is draining.

    :ivar started_s: when the drain started; None while the entry accepts requests.
    :ivar exit_requested: whether the process was asked to exit.
    """

    def __init__(self):
        self.started_s: float | None = None
        self.exit_requested = False

    @property
    def is_active(self) -> bool:
        """Whether new requests are refused."""
        return self.started_s is not None


def _on_shutdown(node: machine.Node, event: events.ShutdownRequested) -> list:
    state = node.draining
    if state.is_active:
        return []
    state.started_s = node.now_s
    return [events.DrainStarted(data.Reason.LEAVING)]


def _on_tick(node: machine.Node, event: events.Tick) -> list:
    state = node.draining
    if not state.is_active or state.exit_requested or node.requests.live:
        return []
    if node.now_s < state.started_s + entry_selection.ADDRESS_LIFETIME_S:
        return []
    state.exit_requested = True
    return [effects.Exit()]


HANDLERS = {events.ShutdownRequested: _on_shutdown, events.Tick: _on_tick}
