"""Keeps the dispatches of a request that are not over: one, or two during a move.

A request that moves stays at its silent engine until another one has begun, as each
other engine may reject it. So the caller gets what comes first.
"""

from toucanspread.core import data
from toucanspread.core.entry import decisions, engine_dispatch

SILENCE_WEIGHT = decisions.failure_weight(decisions.DispatchFailure.SILENT)


class RequestDispatches:
    """The newest dispatch of a request, and the one that is kept during a move.

    :ivar newest: the last dispatch, unless it failed and the kept one went on.
    :ivar kept: the dispatch to a silent engine; None if the request doesn't move.
    """

    def __init__(self):
        self.newest = engine_dispatch.Dispatch()
        self.kept: engine_dispatch.Dispatch | None = None

    @property
    def is_moving(self) -> bool:
        """Return whether two engines have the request, of which one was silent."""
        return self.kept is not None

    @property
    def live(self) -> list[engine_dispatch.Dispatch]:
        """Return the dispatches whose engines have the request."""
        both = [self.newest] if self.kept is None else [self.kept, self.newest]
        return [dispatch for dispatch in both if dispatch.engine is not None]

    @property
    def live_numbers(self) -> list[int]:
        """Return the numbers of the dispatches whose engines have the request."""
        return [dispatch.number for dispatch in self.live]

    def is_kept(self, number: int | None) -> bool:
        """Return whether a number is that of the kept dispatch."""
        return self.kept is not None and number == self.kept.number

    def find(self, number: int | None) -> engine_dispatch.Dispatch:
        """Return the kept dispatch if the number is its own, else the newest one."""
        return self.kept if self.is_kept(number) else self.newest

    def replace(self, dispatch: engine_dispatch.Dispatch) -> None:
        """Replace the dispatch that has the same number."""
        if self.is_kept(dispatch.number):
            self.kept = dispatch
        else:
            self.newest = dispatch

    def add(self, dispatch: engine_dispatch.Dispatch) -> None:
        """Add the newest dispatch, and keep the last one if its engine has it still."""
        if self.newest.engine is not None:
            self.kept = self.newest
        self.newest = dispatch

    def end(
        self,
        dispatch: engine_dispatch.Dispatch,
        now_s: float,
        ok: bool = False,
        failure_weight: int = 0,
    ) -> None:
        """Record that a dispatch is over; if another one goes on, only that is left.

        :param ok: whether its engine answered.
        :param failure_weight: how much the end counts towards avoiding its engine.
        """
        ended = engine_dispatch.end(dispatch, now_s, ok, failure_weight)
        if self.is_kept(ended.number):
            self.kept = None
        elif self.kept is not None:
            self.newest, self.kept = self.kept, None
        else:
            self.newest = ended

    def cancel(
        self, dispatch: engine_dispatch.Dispatch, now_s: float, failure_weight: int = 0
    ) -> list[data.Effect]:
        """End a dispatch that is not over, also at its engine."""
        self.end(dispatch, now_s, failure_weight=failure_weight)
        return [decisions.Cancel(dispatch.number)]

    def cancel_all(self, now_s: float, failure_weight: int = 0) -> list[data.Effect]:
        """End all dispatches that are not over, also at their engines."""
        effects = []
        for dispatch in self.live:
            effects += self.cancel(dispatch, now_s, failure_weight)
        return effects

    def choose(self, number: int | None, now_s: float) -> list[data.Effect]:
        """Let only one dispatch go on; cancel the other one."""
        if self.kept is None:
            return []
        if self.is_kept(number):
            return self.cancel(self.newest, now_s)
        return self.cancel(self.kept, now_s, SILENCE_WEIGHT)
