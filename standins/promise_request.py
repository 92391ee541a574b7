"""A caller's request that an entry sends to an engine, over links of limited bandwidth.

The entry decides with the product's own code. What it sends arrives behind all that was
sent to the engine's instance before.
"""

from standins import engine_model, promise_engine, promise_entry
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_obstacles,
    forwarding,
    region_rules,
)

PACKET_BYTES = 60  # opens or closes a connection
REQUEST_BYTES = 4_000
OPEN_CONNECTION_SHARE = 0.6  # of requests that find an idle connection
MEAN_PROMPT_TOKENS = 700
MEAN_ANSWER_TOKENS = 40
TIMEOUT_S = 6.0
ROUTE = entry_data.Route(
    "r",
    "h",
    "/",
    entry_data.RequestKind.STREAMING,
    TIMEOUT_S,
    0.5,
    1,
    (entry_data.Share(promise_entry.SERVICE.name, 1.0),),
    2,
    resumable=True,
)
RESTRICTED_SHARE = 4  # every fourth request may be served in some regions only
ALLOWED_REGIONS = frozenset({data.RegionName("z0"), data.RegionName("z1")})


class PromiseRequest(promise_entry.EntryRequest, promise_engine.DispatchListener):
    """A caller's request, from its arrival at an entry to its end.

    :param engines: all engines by their ids.
    :param allowed_regions: regions in which it may be served; None for all.
    """

    def __init__(
        self,
        entry: promise_entry.PromiseEntry,
        engines: dict[str, promise_engine.PromiseEngine],
        attempt_id: str,
        allowed_regions: region_rules.Regions | None = None,
    ):
        self.entry = entry
        self._engines = engines
        self._allowed_regions = allowed_regions
        self._random = entry.random_source
        self._loop = entry.network.loop
        self._dispatch: promise_engine.Dispatch | None = None
        self._prompt_tokens = int(self._random.expovariate(1 / MEAN_PROMPT_TOKENS)) + 40
        self._answer_tokens = int(self._random.expovariate(1 / MEAN_ANSWER_TOKENS)) + 1
        call = entry_data.Call(
            attempt_id,
            "h",
            "/",
            None,
            budget_s=TIMEOUT_S,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._answer_tokens,
            likely_tokens=self._answer_tokens,
        )
        self._state = forwarding.RequestState(
            ROUTE,
            promise_entry.SERVICE,
            call,
            self._loop.time(),
            allowed_regions=allowed_regions,
        )

    def start(self) -> None:
        """Send the request to an engine, or end it."""
        self.entry.in_progress[self] = None
        self._loop.call_later(TIMEOUT_S, self._on_deadline)
        self._carry_out(self._state.start(self._make_context()))

    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""
        dispatch = self._dispatch
        if dispatch is None:
            return
        was_sent = dispatch.sent_s is not None
        if not self._state.must_be_withdrawn(self._make_context(), was_sent):
            return
        failure = decisions.DispatchFailure.WITHDRAWN
        if not was_sent:
            failure = decisions.DispatchFailure.WITHDRAWN_UNSENT
        self._fail(dispatch, failure)

    def on_entry_lost(self) -> None:
        """Close the connection, as the end of the entry's process does."""
        self._carry_out(self._state.on_caller_disconnected(self._make_context()))
        self._close()

    # What the engine answers

    def on_failure(
        self, dispatch: promise_engine.Dispatch, failure: decisions.DispatchFailure
    ) -> None:
        """Handle the failure of a dispatch at its engine, after a delay."""
        self._loop.call_later(
            promise_engine.ANSWER_DELAY_S, self._fail, dispatch, failure
        )

    def on_begun(self, dispatch: promise_engine.Dispatch) -> None:
        """Handle the first event of an answer, after a delay."""
        self._loop.call_later(
            promise_engine.ANSWER_DELAY_S, self._record_begin, dispatch
        )

    def on_end(self, dispatch: promise_engine.Dispatch) -> None:
        """Handle the end of an answer, after a delay."""
        self._loop.call_later(promise_engine.ANSWER_DELAY_S, self._finish, dispatch)

    def _fail(
        self, dispatch: promise_engine.Dispatch, failure: decisions.DispatchFailure
    ) -> None:
        if dispatch is self._dispatch:
            self._carry_out(self._state.on_failure(self._make_context(), failure))

    def _record_begin(self, dispatch: promise_engine.Dispatch) -> None:
        if dispatch is self._dispatch:
            self._state.on_begun(self._loop.time())
            self._state.on_stream_opened()

    def _finish(self, dispatch: promise_engine.Dispatch) -> None:
        if dispatch is self._dispatch:
            self._dispatch = None
            self._carry_out(self._state.on_answer(self._make_context(), 200))

    def _on_deadline(self) -> None:
        self._carry_out(self._state.on_deadline(self._make_context()))

    # What the entry decides

    def _make_context(self) -> decision_context.Context:
        return self.entry.make_decision_context()

    def _carry_out(self, effects: list[data.Effect]) -> None:
        for effect in effects:
            match effect:
                case decisions.SendToEngine():
                    self._send(effect)
                case decisions.Cancel():
                    self._close()
                case decisions.Enqueue():
                    # Callers whose requests would be queued go away.
                    self.on_entry_lost()
        if self._state.is_finished:
            self._close()
            self.entry.in_progress.pop(self, None)

    def _send(self, effect: decisions.SendToEngine) -> None:
        engine = self._engines[effect.engine_id]
        dispatch = self._dispatch = promise_engine.Dispatch(
            self, self.entry, engine, self._allowed_regions
        )
        dispatch.assigned_s = self._loop.time()
        if self._random.random() < OPEN_CONNECTION_SHARE and effect.max_idle_s != 0.0:
            self._send_on_connection(dispatch)
            return
        self._send_bytes(engine, PACKET_BYTES, lambda: self._accept(dispatch))

    def _accept(self, dispatch: promise_engine.Dispatch) -> None:
        self._loop.call_later(
            promise_engine.ANSWER_DELAY_S, self._send_on_connection, dispatch
        )

    def _send_on_connection(self, dispatch: promise_engine.Dispatch) -> None:
        """Send the request unless the engine may not get it any more."""
        if dispatch is not self._dispatch:
            return
        context = self._make_context()
        known = context.registry.get(dispatch.engine.engine_id)
        is_usable = known is not None and not engine_obstacles.forbids_dispatch(
            known, context.now_s, promise_entry.SERVICE, dispatch.assigned_s
        )
        if not is_usable or self._state.must_be_withdrawn(context, was_sent=False):
            self._fail(dispatch, decisions.DispatchFailure.WITHDRAWN_UNSENT)
            return
        dispatch.sent_s = context.now_s
        dispatch.job = engine_model.Job(
            self._prompt_tokens,
            self._answer_tokens,
            lambda: dispatch.engine.on_event(dispatch),
            lambda: dispatch.engine.on_end(dispatch),
            lambda _: None,
        )
        self._send_bytes(
            dispatch.engine, REQUEST_BYTES, lambda: dispatch.engine.receive(dispatch)
        )

    def _close(self) -> None:
        dispatch, self._dispatch = self._dispatch, None
        if dispatch is None or dispatch.sent_s is None:
            return
        dispatch.closed_s = self._loop.time()
        self._send_bytes(
            dispatch.engine, PACKET_BYTES, lambda: dispatch.engine.cancel(dispatch)
        )

    def _send_bytes(
        self, engine: promise_engine.PromiseEngine, size_bytes: int, receive
    ) -> None:
        network = self.entry.network
        network.send_message(self.entry.machine, engine.machine, size_bytes, receive)
