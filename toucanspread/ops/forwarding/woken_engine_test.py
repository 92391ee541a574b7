"""Plays streams that are resumed at an engine that stands still until it is too late.

Decisions, connections and timers are the entry's own; only the transports are fakes.
"""

import itertools

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from toucanspread.core.entry import cluster_state
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import forwarder_test
from toucanspread.ops.http import http1, http1_client, http1_pool

DUE_S = 8.0  # after a version is named, at 0
FROZEN_S = 4.3  # when the last load report of the second engine arrives
SENT_S = 5.05
CUT_S = 6.0  # when the first engine switches
WITHDRAWN_S = DUE_S - 0.25
WOKEN_S = 8.25
STEP_S = 0.05
EVENT = b"id: 1\ndata: a\n\n"
REST = b"id: 22\ndata: b\n\n"


class WokenEngineCase(forwarder_test.ForwarderCase):
    attempts = 2

    def make_configuration(self):
        configuration = super().make_configuration()
        route, *others = configuration["routes"]
        route = {**route, "attempts": self.attempts}
        return {**configuration, "routes": [route, *others]}

    def make_clock(self):
        return MemoryReactorClock()

    def make_pool(self):
        return http1_pool.ConnectionPool(self.clock)

    def name_version(self):
        for model in {s.profile.model for s in self.list_services()}:
            named = cluster_state.VersionNamed(model, 2)
            self.cluster.apply(named, cluster_state.ChangeTiming(0.0, 0.0), False)
            in_s = self.cluster.withdrawal_in_s(named, 0.0)
            self.forwarder.schedule_withdrawal(in_s)

    def list_services(self):
        services = self.cluster.route_table.services.values()
        return [service for service in services if service.profile is not None]

    def report(self, number, active=0):
        for service in self.list_services():
            engine = self.cluster.registry.get(f"{service.name}-{number}")
            if engine is None:
                continue
            load = entry_data.EngineLoad(
                engine.entry.address, engine.entry.born_ms, active, 0, 1, False
            )
            self.cluster.apply_report(load, self.clock.seconds())

    def keep_idle_connections(self):
        """Let each second engine have a connection of an earlier request."""
        for service in self.list_services():
            connection = http1_client.ClientConnection(self.clock)
            connection.makeConnection(forwarder_test.Transport())
            connection.idle_since_s = self.clock.seconds()
            self.pool.release(self.get_address(service.name, 2), connection)
            self.idle_connections.append(connection)

    def expire_entries(self):
        for service in self.list_services():
            removed = cluster_state.EngineRemoved(f"{service.name}-2")
            now_s = self.clock.seconds()
            timing = cluster_state.ChangeTiming(now_s, now_s - 0.1)
            self.cluster.apply(removed, timing, False)

    def run_until(self, end_s, expires_s=None):
        while self.clock.seconds() < end_s:
            self.clock.advance(STEP_S)
            self.report(1)
            if self.clock.seconds() <= FROZEN_S:
                self.report(2, active=8)
            if expires_s is not None and self.clock.seconds() >= expires_s:
                self.expire_entries()
                expires_s = None
            self.cluster.registry.drop_removed(self.clock.seconds())

    def connect(self):
        """Open the connection that was asked for last; return the engine's end."""
        engine = self.clock.tcpClients[-1][2].buildProtocol(None)
        engine.makeConnection(forwarder_test.Transport())
        return engine

    def resume_at_frozen_engine(self, has_idle_connection, expires_s):
        """Return the connection to the second engine at the time of the withdrawal."""
        self.start()
        self.idle_connections = []
        self.name_version()
        self.run_until(FROZEN_S)
        if has_idle_connection:
            self.keep_idle_connections()
        self.run_until(SENT_S)
        request = forwarder_test.REQUEST.replace(b"Ms: 3000", b"Ms: 6000")
        self.connection.dataReceived(request)
        first = self.connect()
        first.dataReceived(forwarder_test.STREAM + forwarder_test.chunk(EVENT))
        for number in range(2, 22):
            self.run_until(SENT_S + number * 0.0475)
            event = EVENT.replace(b"1", str(number).encode())
            first.dataReceived(forwarder_test.chunk(event))
        self.run_until(CUT_S)
        first.connectionLost(failure.Failure(error.ConnectionDone()))
        self.clock.advance(0.0)
        (second,) = [c for c in self.idle_connections if c.request_count] or [
            self.connect()
        ]
        self.assertIn(b"Last-Event-Id: 21\r\n", second.transport.value())
        self.run_until(WITHDRAWN_S, expires_s)
        return second

    def check(self, has_idle_connection, expires_s):
        second = self.resume_at_frozen_engine(has_idle_connection, expires_s)
        self.assertTrue(second.transport.disconnecting)
        self.run_until(WOKEN_S)
        second.dataReceived(
            forwarder_test.STREAM + forwarder_test.chunk(REST) + http1.LAST_CHUNK
        )
        self.assertNotIn(REST, self.received())
        self.assertFalse(self.received().endswith(http1.LAST_CHUNK))

    def check_all(self):
        expiries_s = (None, CUT_S + 0.1, DUE_S - 0.6, DUE_S - 0.35)
        for case in itertools.product((False, True), expiries_s):
            self.check(*case)


class FewAttemptsTest(WokenEngineCase):
    def test_a_stream_whose_attempts_are_used_up_is_not_left_at_an_engine_that_wakes(
        self,
    ):
        self.check_all()


class MoreAttemptsTest(WokenEngineCase):
    attempts = 4

    def test_a_stream_that_no_engine_can_take_is_not_left_at_an_engine_that_wakes(
        self,
    ):
        self.check_all()
