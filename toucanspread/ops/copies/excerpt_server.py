"""Serves excerpts of this process's copy of the store to processes that follow it."""

import msgspec

from toucanspread.core.view import store_position, store_view
from toucanspread.ops.copies import (
    call_ids,
    excerpt_client,
    excerpt_codec,
    excerpt_deltas,
    newer_values,
)
from toucanspread.ops.http import http1_exchange
from toucanspread.ops.telemetry import metric_buffer

EMPTY_VIEW_WAIT_S = 0.8  # a starting process answers 503 if it has no copy by then


class ExcerptServer:
    """Serves excerpts of this process's copy to peers, by long polling."""

    def __init__(self, view: store_view.View, reactor):
        self._view = view
        self._reactor = reactor
        self._encoder = excerpt_codec.ExcerptEncoder()
        self._delta_maker = excerpt_deltas.DeltaMaker(view.past_values)
        self._waiting: dict[http1_exchange.Exchange, _WaitingRequest] = {}

    def on_request(
        self,
        exchange: http1_exchange.Exchange,
        request: excerpt_client.ExcerptRequest,
        can_decompress: bool = False,
    ) -> None:
        """Answer now if there is a change, else on a change or after the wait.

        :param can_decompress: whether the peer accepts compressed changes.
        """
        waiting = _WaitingRequest(request, can_decompress, self._reactor.seconds())
        wait_s = request.wait_s
        if self._view.is_empty:
            wait_s = max(wait_s, EMPTY_VIEW_WAIT_S)
        elif self._is_behind(request) or wait_s <= 0:
            excerpt = self._make_excerpt(waiting)
            if excerpt.is_whole or excerpt.changes:
                self._send(exchange, waiting, excerpt)
                return
        waiting.timer = self._reactor.callLater(wait_s, self._answer, exchange)
        exchange.on_disconnected = lambda: self._remove_waiting(exchange)
        self._waiting[exchange] = waiting

    def on_newer_request(
        self,
        exchange: http1_exchange.Exchange,
        request: newer_values.NewerValuesRequest,
        can_decompress: bool = False,
    ) -> None:
        """Answer at once with the values of newer versions than the peer's."""
        if self._view.is_empty:
            # Processes that start at the same time must not wait for each other.
            exchange.respond(503)
            return
        excerpt = store_view.Excerpt(
            self._view.revision,
            self._view.age_s(self._reactor.seconds()),
            False,
            tuple(
                change
                for change in self._view.list_newer(request.versions)
                if change.key.startswith(request.prefixes)
            ),
            self._view.position.era,
        )
        body = self._encoder.encode(excerpt, can_decompress)
        exchange.respond(200, call_ids.make_headers(request.call_id), body)

    def _is_behind(self, request: excerpt_client.ExcerptRequest) -> bool:
        era = request.era or self._view.position.era
        return store_position.StorePosition(era, request.after) < self._view.position

    def notify_waiters(self) -> None:
        """Answer the waiting requests that a change concerns."""
        for exchange, waiting in list(self._waiting.items()):
            excerpt = self._make_excerpt(waiting)
            if excerpt.changes:
                self._remove_waiting(exchange)
                self._send(exchange, waiting, excerpt)

    def _answer(self, exchange: http1_exchange.Exchange) -> None:
        waiting = self._remove_waiting(exchange)
        if waiting is None:
            return
        if self._view.is_empty:
            exchange.respond(503)
            return
        self._send(exchange, waiting, self._make_excerpt(waiting))

    def _remove_waiting(
        self, exchange: http1_exchange.Exchange
    ) -> "_WaitingRequest | None":
        waiting = self._waiting.pop(exchange, None)
        if waiting is not None and waiting.timer.active():
            waiting.timer.cancel()
        return waiting

    def _make_excerpt(self, waiting: "_WaitingRequest") -> store_view.Excerpt:
        now_s = self._reactor.seconds()
        request = waiting.request
        excerpt = self._view.make_excerpt(
            request.after, request.prefixes, now_s, request.era
        )
        waited_s = now_s - waiting.arrived_s
        return msgspec.structs.replace(excerpt, waited_s=waited_s)

    def _send(
        self,
        exchange: http1_exchange.Exchange,
        waiting: "_WaitingRequest",
        excerpt: store_view.Excerpt,
    ) -> None:
        request = waiting.request
        is_same_era = request.era in (store_position.UNKNOWN_ERA, excerpt.era)
        if request.accepts_deltas and is_same_era:
            excerpt = self._delta_maker.shorten(excerpt, request.after)
        if excerpt.deltas:
            metric_buffer.count("excerpt_deltas_sent", len(excerpt.deltas))
        body = self._encoder.encode(excerpt, waiting.can_decompress)
        metric_buffer.count("excerpts_sent", whole=str(excerpt.is_whole).lower())
        metric_buffer.count("excerpt_bytes_sent", len(body))
        exchange.respond(200, call_ids.make_headers(request.call_id), body)


class _WaitingRequest:
    """An unanswered request with the timer that ends its wait."""

    def __init__(
        self,
        request: excerpt_client.ExcerptRequest,
        can_decompress: bool,
        arrived_s: float,
    ):
        self.request = request
        self.arrived_s = arrived_s
        self.can_decompress = can_decompress
        self.timer = None
