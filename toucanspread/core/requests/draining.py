"""Drains an entry: it refuses new requests and ends once the running ones have.

Callers keep addresses for a while, so the entry stays for that long to send them
elsewhere instead of closing its port on them.
"""

from toucanspread.core import data, effects, events, machine
from toucanspread.core.requests import entry_selection


class State:
    """Whether this entry is leaving.

    :ivar started_s: when the drain began; None while the entry takes requests.
    :ivar exited: whether the process was told to end.
    """

    def __init__(self):
        self.started_s: float | None = None
        self.exited = False

    @property
    def active(self) -> bool:
        """Tell whether new requests are refused."""
        return self.started_s is not None


def _on_shutdown(node: machine.Node, event: events.ShutdownRequested) -> list:
    state = node.draining
    if state.active:
        return []
    state.started_s = node.now_s
    return [events.DrainStarted(data.Reason.LEAVING)]


def _on_tick(node: machine.Node, event: events.Tick) -> list:
    state = node.draining
    if not state.active or state.exited or node.requests.live:
        return []
    if node.now_s < state.started_s + entry_selection.ADDRESS_LIFETIME_S:
        return []
    state.exited = True
    return [effects.Exit()]


HANDLERS = {events.ShutdownRequested: _on_shutdown, events.Tick: _on_tick}
