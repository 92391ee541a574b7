"""Accepts callers' requests: finds route and team, then forwards or refuses them."""

import abc
import random
from collections.abc import Callable

import msgspec

from toucanspread.core.entry import (
    cluster_state,
    decision_context,
    engine_requirements,
    fingerprints,
    guard_program,
    priority_rules,
    retry_budget,
    routes,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops import loop
from toucanspread.ops.forwarding import (
    crash_notices,
    dialect,
    forwarded_request,
    request_queue,
)
from toucanspread.ops.http import http1_exchange, http1_pool, http1_server
from toucanspread.ops.telemetry import logs, metric_buffer

STATUS_BY_DENIAL = {
    routes.Denial.NO_ROUTE: 404,
    routes.Denial.UNKNOWN_KEY: 401,
}
STARTING_RETRY_AFTER_S = 0.5  # about the time until a new entry has its configuration
LOGGED_LATENESS_S = 0.05  # of a withdrawal, which has 0.3 s until it has to act
OUTDATED_RETRY_AFTER_S = 0.5  # another entry may know the configuration in force


class EntryNotifier(abc.ABC):
    """Notifies the other entries of what they take into account in their choices."""

    @abc.abstractmethod
    def send_prompt_notice(self, notice: entry_data.PromptSent) -> None:
        """Notify the other entries of the zone of a prompt sent to an engine."""

    @abc.abstractmethod
    def send_notice(
        self, notice: entry_data.LimitNotice | entry_data.CrashNotice
    ) -> None:
        """Notify the entries of all zones of a limit, or of crashes of engines."""


class Forwarder(http1_server.RequestHandler, forwarded_request.AbstractForwarder):
    """Handles the requests of callers.

    :param get_location: returns the location of this entry and the number of entries.
    :param notifier: notifies the other entries.
    :param list_members: returns the entries that serve callers.
    :param get_copy_age_s: returns the age of this entry's copy of the store in seconds.
    :param config_within_s: time after which a configuration must be in force.
    :param has_priorities: whether declared priorities decide which requests start.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        retry_budgets: retry_budget.RetryBudget,
        pool: http1_pool.ConnectionPool,
        wire_dialect: dialect.Dialect,
        get_location: Callable[[], engine_requirements.EntryLocation],
        random_source: random.Random,
        notifier: EntryNotifier,
        list_members: Callable[[], guard_program.Members],
        get_copy_age_s: Callable[[], float],
        config_within_s: float,
        has_priorities: bool = False,
    ):
        self._notifier = notifier
        self.cluster = cluster
        self.pool = pool
        self.wire_dialect = wire_dialect
        self.in_progress: set[forwarded_request.ForwardedRequest] = set()
        self._requests_end_s = float("inf")
        self._retry_budgets = retry_budgets
        self._get_location = get_location
        self._get_copy_age_s = get_copy_age_s
        self._config_within_s = config_within_s
        self._has_priorities = has_priorities
        self._random_source = random_source
        self.queue = request_queue.RequestQueue(pool.reactor)
        self.crash_notices = crash_notices.CrashNotices(
            pool.reactor,
            random_source,
            list_members,
            notifier.send_notice,
            self._on_quarantine,
        )

    def get_limits(self) -> http1_server.Limits:
        """Return the configured limits on requests."""
        if self.cluster.route_table is None:
            return http1_server.Limits()
        limits = self.cluster.route_table.configuration.limits
        return http1_server.Limits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def is_closing(self) -> bool:
        """Return whether this entry is shutting down."""
        return self._requests_end_s < float("inf")

    def leave(self, requests_end_s: float) -> None:
        """Forward only what surely ends by a time, and refuse the rest.

        :param requests_end_s: time at which :meth:`end_requests` will be called.
        """
        self._requests_end_s = requests_end_s
        self._for_each_request("leaving", forwarded_request.ForwardedRequest.on_leaving)

    def end_requests(self) -> None:
        """End all requests with a final answer, or recognisably incomplete."""
        self._for_each_request("stop", forwarded_request.ForwardedRequest.on_stop)

    def on_request(self, exchange: http1_exchange.Exchange) -> None:
        """Forward a request, or refuse it."""
        call = self.wire_dialect.read_call(exchange.head)
        if call is None:
            metric_buffer.count("requests_denied", why="unreadable")
            exchange.respond(400, self.wire_dialect.make_own_answer_headers(None, None))
            return
        if self.cluster.route_table is None:
            self._refuse_undecided(
                exchange, call, "no configuration", STARTING_RETRY_AFTER_S
            )
            return
        route = self.cluster.route_table.find_route(call.host, call.path)
        team = self.cluster.route_table.find_team(call.key)
        denial = self.cluster.route_table.find_denial(route, team)
        if denial is not None and self._may_be_outdated():
            self._refuse_undecided(
                exchange, call, "old configuration", OUTDATED_RETRY_AFTER_S
            )
            return
        if denial is not None:
            self._deny(exchange, call, denial)
            return
        fingerprint = fingerprints.make_fingerprint(
            exchange.head.method, exchange.head.target, exchange.body, call
        )
        call = msgspec.structs.replace(call, fingerprint=fingerprint)
        forwarded_request.ForwardedRequest(self, exchange, call, route, team).start()

    def schedule_withdrawal(self, in_s: float) -> None:
        """Withdraw what will not have begun on the weights in force by a time.

        :param in_s: seconds until requests to engines without a delay are withdrawn.
        """
        now_s = self.pool.reactor.seconds()
        for delay_s in cluster_state.list_withdrawal_delays_s(in_s):
            due_s = now_s + delay_s
            self.pool.reactor.callLater(delay_s, self._withdraw_outdated, due_s)

    def make_decision_context(
        self, service: entry_data.Service
    ) -> decision_context.Context:
        """Return the context of a decision about a request of a service."""
        now_s = self.pool.reactor.seconds()
        return decision_context.Context(
            now_s,
            self.cluster.registry,
            self._retry_budgets,
            self._get_location(),
            self._random_source,
            self.crash_notices.guard,
            self.cluster.minimum_version(service, now_s),
            self.cluster.upcoming_versions(service, now_s),
            self._requests_end_s,
            priorities=self._find_priorities(service),
        )

    def _find_priorities(
        self, service: entry_data.Service
    ) -> priority_rules.PriorityRules | None:
        if not self._has_priorities or service.profile is None:
            return None
        return self.cluster.route_table.priorities_of(service)

    def notify_prompt_sent(self, sent: entry_data.PromptSent) -> None:
        """Notify the entries of the zone of a prompt that is sent to an engine."""
        self._notifier.send_prompt_notice(sent)

    def notify_limit(self, notice: entry_data.LimitNotice) -> None:
        """Notify all entries of an engine's limit and of requests under it."""
        self._notifier.send_notice(notice)

    def choose_service(self, route: entry_data.Route) -> entry_data.Service | None:
        """Choose one of a route's services at random, by their weights."""
        shares = route.shares
        if not shares:
            return None
        share = shares[0]
        if len(shares) > 1:
            weights = [max(item.weight, 0.0) for item in shares]
            if not any(weights):
                weights = [1.0] * len(shares)
            share = self._random_source.choices(shares, weights)[0]
        return self.cluster.route_table.services.get(share.service)

    def _withdraw_outdated(self, due_s: float) -> None:
        late_s = self.pool.reactor.seconds() - due_s
        if late_s > LOGGED_LATENESS_S:
            logs.write("withdrawal_late", late_s=late_s, requests=len(self.in_progress))
        self._for_each_request(
            "withdrawal", forwarded_request.ForwardedRequest.withdraw_if_outdated
        )

    def _for_each_request(
        self, name: str, handle: Callable[[forwarded_request.ForwardedRequest], None]
    ) -> None:
        """Call a method of all requests in progress, also after it has raised.

        :param name: of the call, for logs and metrics.
        """
        for request in list(self.in_progress):
            try:
                handle(request)
            except Exception as exception:
                loop.log_failure(name, exception)

    def _on_quarantine(self) -> None:
        self._for_each_request(
            "quarantine", forwarded_request.ForwardedRequest.on_quarantine
        )

    def _may_be_outdated(self) -> bool:
        """Return whether another configuration may be in force at other entries."""
        return self._get_copy_age_s() > self._config_within_s

    def _refuse_undecided(
        self,
        exchange: http1_exchange.Exchange,
        call: entry_data.Call,
        why: str,
        retry_after_s: float,
    ) -> None:
        """Refuse a request of which this entry can't know whether it is allowed."""
        logs.write(
            "request_turned_away",
            id=call.attempt_id,
            why=why,
            age_s=self._get_copy_age_s(),
        )
        metric_buffer.count("requests_refused", why=why)
        headers = self.wire_dialect.make_own_answer_headers(call, retry_after_s)
        exchange.respond(503, headers)

    def _deny(
        self,
        exchange: http1_exchange.Exchange,
        call: entry_data.Call,
        denial: routes.Denial,
    ) -> None:
        logs.write(
            "request_denied",
            id=call.attempt_id,
            why=denial.value,
            host=call.host,
            path=call.path,
            configuration=self.cluster.route_table.version,
            age_s=self._get_copy_age_s(),
        )
        metric_buffer.count("requests_denied", why=denial.value)
        headers = self.wire_dialect.make_own_answer_headers(call, None)
        exchange.respond(STATUS_BY_DENIAL[denial], headers)
