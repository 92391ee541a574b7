"""Answers callers: finds the route and the team, and starts what forwards a request."""

import random
from collections.abc import Callable

from toucanspread.core.entry import (
    cluster_state,
    forwarding,
    load_balancing,
    retry_budget,
    routes,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops import (
    dialect,
    forwarded_request,
    held_requests,
    http1_pool,
    http1_server,
    logs,
    metric_buffer,
)

DENIAL_STATUS = {
    routes.Denial.NO_ROUTE: 404,
    routes.Denial.UNKNOWN_KEY: 401,
}
STARTING_RETRY_AFTER_S = 0.5  # about what a start needs to learn the configuration


class Forwarder(http1_server.Handler, forwarded_request.Owner):
    """Answers callers.

    :param place: returns where this entry is, and among how many.
    :param on_prompt_sent: told of each prompt that goes to an engine.
    """

    def __init__(
        self,
        known: cluster_state.ClusterState,
        spending: retry_budget.RetryBudget,
        pool: http1_pool.Pool,
        wire: dialect.Dialect,
        place: Callable[[], load_balancing.EntryLocation],
        source: random.Random,
        on_prompt_sent: Callable[[entry_data.PromptSent], None],
    ):
        self._on_prompt_sent = on_prompt_sent
        self.known = known
        self.pool = pool
        self.wire = wire
        self.in_progress: set[forwarded_request.Request] = set()
        self.is_leaving = False
        self._spending = spending
        self._place = place
        self._source = source
        self.queue = held_requests.Queue(pool.reactor)

    def bounds(self) -> http1_server.Bounds:
        """Return the configured limits on callers."""
        if self.known.route_table is None:
            return http1_server.Bounds()
        limits = self.known.route_table.configuration.limits
        return http1_server.Bounds(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def is_closing(self) -> bool:
        """Tell whether this entry is about to end."""
        return self.is_leaving

    def on_request(self, exchange: http1_server.Exchange) -> None:
        """Forward a request, or answer it here."""
        call = self.wire.read_call(exchange.head)
        if call is None:
            metric_buffer.count("requests_denied", why="unreadable")
            exchange.respond(400, self.wire.own_answer_headers(None, None))
            return
        if self.known.route_table is None:
            self._turn_away(exchange, call)
            return
        route = self.known.route_table.find_route(call.host, call.path)
        team = self.known.route_table.find_team(call.key)
        denial = self.known.route_table.find_denial(route, team)
        if denial is not None:
            self._deny(exchange, call, denial)
            return
        forwarded_request.Request(self, exchange, call, route, team).start()

    def surroundings(self, service: entry_data.Service) -> forwarding.DecisionContext:
        """Return what decisions about a request look at."""
        now_s = self.pool.reactor.seconds()
        return forwarding.DecisionContext(
            now_s,
            self.known.registry,
            self._spending,
            self._place(),
            self._source,
            self.known.minimum_version(service, now_s),
        )

    def tell_prompt(self, sent: entry_data.PromptSent) -> None:
        """Tell near entries of a prompt that goes to an engine."""
        self._on_prompt_sent(sent)

    def choose_service(self, route: entry_data.Route) -> entry_data.Service | None:
        """Return one of the services that share a route, by their weights."""
        shares = route.shares
        if not shares:
            return None
        share = shares[0]
        if len(shares) > 1:
            weights = [max(item.weight, 0.0) for item in shares]
            if not any(weights):
                weights = [1.0] * len(shares)
            share = self._source.choices(shares, weights)[0]
        return self.known.route_table.services.get(share.service)

    def _turn_away(
        self, exchange: http1_server.Exchange, call: entry_data.Call
    ) -> None:
        logs.write("request_turned_away", id=call.attempt_id, why="no configuration")
        metric_buffer.count("requests_refused", why="no configuration")
        headers = self.wire.own_answer_headers(call, STARTING_RETRY_AFTER_S)
        exchange.respond(503, headers)

    def _deny(
        self,
        exchange: http1_server.Exchange,
        call: entry_data.Call,
        denial: routes.Denial,
    ) -> None:
        logs.write(
            "request_denied",
            id=call.attempt_id,
            why=denial.value,
            host=call.host,
            path=call.path,
            configuration=self.known.route_table.version,
        )
        metric_buffer.count("requests_denied", why=denial.value)
        headers = self.wire.own_answer_headers(call, None)
        exchange.respond(DENIAL_STATUS[denial], headers)
