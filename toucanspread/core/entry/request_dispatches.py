"""Keeps the dispatches of a request that are not over: one, or two during a move.

A request that moves stays at its silent engine until another one has begun, as each
other engine may reject it. So the caller gets what comes first.
"""

from toucanspread.core.entry import engine_dispatch


class RequestDispatches:
    """The newest dispatch of a request, and the one that is kept during a move.

    :ivar newest: the last dispatch, unless it failed and the kept one went on.
    :ivar kept: the dispatch to a silent engine; None if the request doesn't move.
    """

    def __init__(self):
        self.newest = engine_dispatch.Dispatch()
        self.kept: engine_dispatch.Dispatch | None = None

    @property
    def live(self) -> list[engine_dispatch.Dispatch]:
        """Return the dispatches whose engines have the request."""
        both = [self.newest] if self.kept is None else [self.kept, self.newest]
        return [dispatch for dispatch in both if dispatch.engine is not None]

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

    def choose(self, number: int | None) -> engine_dispatch.Dispatch | None:
        """Let only one dispatch go on; return the other one."""
        if self.kept is None:
            return None
        other = self.newest if self.is_kept(number) else self.kept
        self.newest, self.kept = self.find(number), None
        return other

    def drop_kept(self) -> engine_dispatch.Dispatch:
        """Return the kept dispatch, which goes on no longer."""
        dropped, self.kept = self.kept, None
        return dropped

    def return_to_kept(self) -> None:
        """Let the kept dispatch go on alone, as the newest one is over."""
        self.newest = self.drop_kept()
