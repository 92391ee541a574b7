"""Takes callers' requests to engines and the answers back.

The decisions are :mod:`toucanspread.core.entry.forwarding`'s; this module carries
them out on connections and tells it what happened.
"""

import random
from collections.abc import Callable

from toucanspread.core import data
from toucanspread.core.entry import (
    budget,
    event_stream,
    forwarding,
    knowledge,
    placing,
    routes,
    waiting,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops import dialect, http1, http1_pool, logs, tallies

DENIAL_STATUS = {
    routes.Denial.NO_ROUTE: 404,
    routes.Denial.UNKNOWN_KEY: 401,
}
LOOK_AGAIN_S = 0.015  # a fifth of what an engine needs for a usual prompt
STARTING_RETRY_AFTER_S = 0.5  # about what a start needs to learn the configuration


class Forwarder(http1.Handler):
    """Answers callers.

    :param place: returns where this entry is, and among how many.
    :param on_prompt_sent: told of each prompt that goes to an engine.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        spending: budget.Spending,
        pool: http1_pool.Pool,
        wire: dialect.Dialect,
        place: Callable[[], placing.Place],
        source: random.Random,
        on_prompt_sent: Callable[[entry_data.PromptSent], None],
    ):
        self.on_prompt_sent = on_prompt_sent
        self.known = known
        self.pool = pool
        self.wire = wire
        self.in_progress: set[_Request] = set()
        self.is_leaving = False
        self._spending = spending
        self._place = place
        self._source = source
        self.line = _Line(pool.reactor)

    def bounds(self) -> http1.Bounds:
        """Return the configured limits on callers."""
        if self.known.table is None:
            return http1.Bounds()
        limits = self.known.table.configuration.limits
        return http1.Bounds(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def is_closing(self) -> bool:
        """Tell whether this entry is about to end."""
        return self.is_leaving

    def on_request(self, exchange: http1.Exchange) -> None:
        """Forward a request, or answer it here."""
        call = self.wire.read_call(exchange.head)
        if call is None:
            tallies.count("requests_denied", why="unreadable")
            exchange.respond(400, self.wire.own_answer_headers(None, None))
            return
        if self.known.table is None:
            self._turn_away(exchange, call)
            return
        route = self.known.table.find_route(call.host, call.path)
        team = self.known.table.find_team(call.key)
        denial = self.known.table.denial(route, team)
        if denial is not None:
            self._deny(exchange, call, denial)
            return
        _Request(self, exchange, call, route, team).start()

    def surroundings(self, service: entry_data.Service) -> forwarding.Surroundings:
        """Return what decisions about a request look at."""
        now_s = self.pool.reactor.seconds()
        return forwarding.Surroundings(
            now_s,
            self.known.roster,
            self._spending,
            self._place(),
            self._source,
            self.known.minimum_version(service, now_s),
        )

    def choose_service(self, route: entry_data.Route) -> entry_data.Service | None:
        """Return one of the services that share a route, by their weights."""
        shares = route.shares
        if not shares:
            return None
        share = shares[0]
        if len(shares) > 1:
            weights = [item.weight for item in shares]
            share = self._source.choices(shares, weights)[0]
        return self.known.table.services.get(share.service)

    def _turn_away(self, exchange: http1.Exchange, call: entry_data.Call) -> None:
        logs.write("request_turned_away", id=call.attempt_id, why="no configuration")
        tallies.count("requests_refused", why="no configuration")
        headers = self.wire.own_answer_headers(call, STARTING_RETRY_AFTER_S)
        exchange.respond(503, headers)

    def _deny(
        self, exchange: http1.Exchange, call: entry_data.Call, denial: routes.Denial
    ) -> None:
        logs.write(
            "request_denied",
            id=call.attempt_id,
            why=denial.value,
            host=call.host,
            path=call.path,
            configuration=self.known.table.version,
        )
        tallies.count("requests_denied", why=denial.value)
        headers = self.wire.own_answer_headers(call, None)
        exchange.respond(DENIAL_STATUS[denial], headers)


class _Request:
    """Carries out what is decided about one request."""

    def __init__(
        self,
        owner: Forwarder,
        exchange: http1.Exchange,
        call: entry_data.Call,
        route: entry_data.Route,
        team: entry_data.Team | None,
    ):
        self.call = call
        self.exchange = exchange
        self._owner = owner
        self._route = route
        self._team = team.name if team is not None else None
        self.service = owner.choose_service(route)
        self._state: forwarding.Forwarding | None = None
        self._answer: _EngineAnswer | None = None
        self._deadline = None
        self._pace = _Pace()
        self._handlers = {
            forwarding.Dispatch: self._send,
            forwarding.Hold: self._hold,
            forwarding.Cancel: self._cancel,
            forwarding.Relay: self._relay,
            forwarding.OpenStream: self._open_stream,
            forwarding.CloseStream: self._close_stream,
            forwarding.BreakStream: self._break_stream,
            forwarding.Reject: self._reject,
            forwarding.Fail: self._fail,
        }

    def start(self) -> None:
        """Begin, counting the time from the request's first byte."""
        if self.service is None:
            self._reject(forwarding.Reject(forwarding.Cause.NO_ENGINE, 1.0))
            return
        began_s = self.exchange.began_s
        self._state = forwarding.Forwarding(
            self._route, self.service, self.call, began_s
        )
        self._owner.in_progress.add(self)
        self.exchange.on_lost = self._on_caller_left
        reactor = self._owner.pool.reactor
        left_s = self._state.deadline_s - reactor.seconds()
        wait_s = max(left_s + forwarding.ENGINE_ANSWER_SLACK_S, 0.0)
        self._deadline = reactor.callLater(wait_s, self._on_time_over)
        held_work_s = self._owner.line.work_s(self.service.name)
        self._carry_out(self._state.start(self.now(), held_work_s))

    @property
    def state(self) -> forwarding.Forwarding:
        """Return what is decided about the request."""
        return self._state

    def go_on(self) -> bool:
        """Look for an engine again; return whether the request stays held back."""
        decided = self._state.go_on(self.now())
        if any(isinstance(effect, forwarding.Hold) for effect in decided):
            return True
        self._carry_out(decided)
        return False

    def now(self) -> forwarding.Surroundings:
        """Return what decisions look at."""
        return self._owner.surroundings(self.service)

    # what an engine's answer reports

    def on_stream_opened(self) -> None:
        """Pass the head of a stream on, if it is the first one."""
        self._carry_out(self._state.on_stream_opened())

    def on_events(self, events: bytes, last_event_id: str | None) -> None:
        """Pass whole events on."""
        self._state.on_events(last_event_id)
        self._pace.add(self._owner.pool.reactor.seconds())
        self.exchange.write(events)

    def on_answer(self, status: int) -> None:
        """Take a complete answer of the engine."""
        self._carry_out(self._state.on_answer(self.now(), status))

    def on_failure(self, failure: forwarding.Failure) -> None:
        """Take a dispatch that brought no complete answer."""
        engine_id = self._state.engine_id
        number = self._state.dispatches
        decided = self._state.on_failure(self.now(), failure)
        logs.write(
            "dispatch_failed",
            id=self.call.attempt_id,
            engine=engine_id,
            why=failure.value,
            number=number,
            then=" ".join(type(effect).__name__ for effect in decided) or "wait",
        )
        tallies.count("dispatches_failed", why=failure.value)
        self._carry_out(decided)

    # what the caller and the clock report

    def _on_caller_left(self) -> None:
        engine_id = self._state.engine_id
        logs.write("caller_left", id=self.call.attempt_id, engine=engine_id)
        tallies.count("requests_left")
        self._carry_out(self._state.on_caller_left(self.now()))

    def _on_time_over(self) -> None:
        self._carry_out(self._state.on_time_over(self.now()))

    # what is decided

    def _carry_out(self, decided: list[data.Effect]) -> None:
        for effect in decided:
            self._handlers[type(effect)](effect)
        if self._state is not None and self._state.is_over:
            self._owner.in_progress.discard(self)
            self._owner.line.remove(self)
            if self._deadline is not None and self._deadline.active():
                self._deadline.cancel()

    def _send(self, effect: forwarding.Dispatch) -> None:
        owner = self._owner
        head = owner.wire.engine_head(self.exchange.head, effect, self._team)
        self._answer = _EngineAnswer(self, owner.wire, owner.pool.reactor, effect)
        request = http1.render_request(head, self.exchange.body)
        if self.call.prompt_tokens:
            owner.on_prompt_sent(
                entry_data.PromptSent(
                    effect.engine_id, self.service.name, self.call.prompt_tokens
                )
            )
        tallies.count("dispatches")
        logs.write(
            "request_dispatched",
            id=self.call.attempt_id,
            route=self._route.name,
            engine=effect.engine_id,
            number=effect.number,
            busy=effect.busy,
            busy_age_s=effect.busy_age_s,
            expected_version=effect.expected_version,
            configuration=owner.known.table.version,
        )
        sending = owner.pool.send(
            effect.address, request, self._answer, effect.max_idle_s
        )
        self._answer.sending = sending

    def _hold(self, effect: forwarding.Hold) -> None:
        self._owner.line.add(self)
        tallies.count("requests_held")

    def _cancel(self, effect: forwarding.Cancel) -> None:
        if self._answer is not None:
            self._answer.cancel()

    def _relay(self, effect: forwarding.Relay) -> None:
        answer = self._answer
        tallies.count("requests_answered", status=str(answer.head.status))
        self._observe(answer.head.status)
        self.exchange.respond(
            answer.head.status, answer.head.forwardable(), bytes(answer.body)
        )
        self._log_answer(answer.head.status)

    def _open_stream(self, effect: forwarding.OpenStream) -> None:
        head = self._answer.head
        self._observe(head.status)
        self.exchange.start(head.status, head.forwardable())

    def _close_stream(self, effect: forwarding.CloseStream) -> None:
        tallies.count("requests_answered", status="200")
        self.exchange.finish()
        self._log_answer(200)

    def _break_stream(self, effect: forwarding.BreakStream) -> None:
        self._log_end("stream_broken", effect.cause)
        tallies.count("streams_broken", why=effect.cause.value)
        self.exchange.abort()

    def _reject(self, effect: forwarding.Reject) -> None:
        self._log_end("request_refused", effect.cause, effect.retry_after_s)
        tallies.count("requests_refused", why=effect.cause.value)
        headers = self._owner.wire.own_answer_headers(self.call, effect.retry_after_s)
        self.exchange.respond(503, headers)

    def _fail(self, effect: forwarding.Fail) -> None:
        self._log_end("request_failed", effect.cause)
        tallies.count("requests_failed", why=effect.cause.value)
        headers = self._owner.wire.own_answer_headers(self.call, None)
        self.exchange.respond(504 if effect.timed_out else 502, headers)

    def _log_answer(self, status: int) -> None:
        now_s = self._owner.pool.reactor.seconds()
        first_s = self._pace.first_s if self._pace.first_s is not None else now_s
        logs.write(
            "request_answered",
            id=self.call.attempt_id,
            route=self._route.name,
            status=status,
            first_s=first_s - self.exchange.began_s,
            longest_pause_s=self._pace.longest_pause_s,
            after_s=now_s - self.exchange.began_s,
            dispatches=self._state.dispatches,
            tokens=self.call.prompt_tokens,
        )

    def _log_end(
        self, event: str, cause: forwarding.Cause, retry_after_s: float = 0.0
    ) -> None:
        now_s = self._owner.pool.reactor.seconds()
        logs.write(
            event,
            id=self.call.attempt_id,
            route=self._route.name,
            why=cause.value,
            after_s=now_s - self.exchange.began_s,
            dispatches=self._state.dispatches if self._state else 0,
            retry_after_s=retry_after_s,
            configuration=self._owner.known.table.version,
        )

    def _observe(self, status: int) -> None:
        now_s = self._owner.pool.reactor.seconds()
        seconds = now_s - self.exchange.began_s
        tallies.observe("first_byte_seconds", seconds, kind=self._route.kind.value)


class _Line:
    """The requests that are held back, by service."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._held: dict[data.ServiceName, list[_Request]] = {}
        self._timer = None

    def work_s(self, service: data.ServiceName) -> float:
        """Return what one engine would need to start on all that are held back."""
        held = self._held.get(service, [])
        return sum(request.state.work_s for request in held)

    def add(self, request: _Request) -> None:
        """Hold a request back."""
        self._held.setdefault(request.service.name, []).append(request)
        self._start_timer()

    def remove(self, request: _Request) -> None:
        """Forget a request that is over or on its way."""
        held = self._held.get(request.service.name, [])
        if request in held:
            held.remove(request)

    def _start_timer(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(LOOK_AGAIN_S, self._look)

    def _look(self) -> None:
        for held in list(self._held.values()):
            self._send_some(held)
        if any(self._held.values()):
            self._start_timer()

    def _send_some(self, held: list[_Request]) -> None:
        """Let requests go on in their order, until one has to stay."""
        while held:
            now = held[0].now()
            backlog_s = placing.least_backlog_s(
                now.roster, held[0].service, now.place, now.now_s
            )
            by_state = {request.state: request for request in held}
            order = waiting.in_order(by_state, backlog_s, now.now_s)
            request = by_state[order[0]]
            if request.go_on():
                return
            self.remove(request)


class _Pace:
    """When a stream's events were passed on."""

    def __init__(self):
        self.first_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_s = 0.0

    def add(self, now_s: float) -> None:
        """Note events."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self._last_s)
        self._last_s = now_s


class _EngineAnswer(http1.AnswerListener):
    """Follows one dispatch."""

    def __init__(
        self,
        request: _Request,
        wire: dialect.Dialect,
        reactor,
        dispatch: forwarding.Dispatch,
    ):
        self.head: http1.AnswerHead | None = None
        self.body = bytearray()
        self.sending: http1_pool.Sending | None = None
        self._request = request
        self._wire = wire
        self._reactor = reactor
        self._facts: dialect.AnswerFacts | None = None
        self._splitter: event_stream.Splitter | None = None
        self._over = False
        self._silence_s = dispatch.silence_s
        self._timer = reactor.callLater(dispatch.silence_s, self._on_silence)

    def cancel(self) -> None:
        """Drop the dispatch."""
        self._end()
        if self.sending is not None:
            self.sending.cancel()

    def on_head(self, head: http1.AnswerHead) -> bool:
        """Take the start of an answer; one to an earlier request is passed over."""
        facts = self._wire.read_answer(head, self._request.call)
        if not facts.is_own:
            return False
        self.head = head
        self._facts = facts
        if facts.is_stream and facts.is_sealed and head.status == 200:
            self._splitter = event_stream.Splitter()
            self._request.on_stream_opened()
        return True

    def on_piece(self, piece: bytes) -> None:
        """Take a part of the body."""
        if self._over:
            return
        if self._splitter is None:
            self.body += piece
            return
        self._restart_timer()
        whole = self._splitter.feed(piece)
        if whole:
            self._request.on_events(whole, self._splitter.last_event_id)

    def on_end(self) -> None:
        """Judge a complete answer."""
        if self._over:
            return
        self._end()
        facts = self._facts
        if facts.is_other_instance:
            self._request.on_failure(forwarding.Failure.OTHER_INSTANCE)
        elif facts.not_run:
            self._request.on_failure(forwarding.Failure.REJECTED)
        elif not facts.is_sealed:
            self._request.on_failure(forwarding.Failure.MALFORMED)
        elif self._splitter is not None and self._splitter.has_rest:
            self._request.on_failure(forwarding.Failure.BROKEN)
        else:
            self._request.on_answer(self.head.status)

    def on_broken(self, how: http1.Broken) -> None:
        """Take an answer that will not be complete."""
        if self._over:
            return
        self._end()
        failure = forwarding.Failure.BROKEN
        if how is http1.Broken.NOT_CONNECTED:
            failure = forwarding.Failure.NOT_CONNECTED
        elif how is http1.Broken.MALFORMED:
            failure = forwarding.Failure.MALFORMED
        self._request.on_failure(failure)

    def _on_silence(self) -> None:
        if self._over:
            return
        self._timer = self._reactor.callLater(self._silence_s, self._on_silence)
        self._request.on_failure(forwarding.Failure.SILENT)

    def _restart_timer(self) -> None:
        self._silence_s = forwarding.STREAM_GAP_SILENCE_S
        if self._timer.active():
            self._timer.reset(self._silence_s)

    def _end(self) -> None:
        self._over = True
        if self._timer.active():
            self._timer.cancel()
