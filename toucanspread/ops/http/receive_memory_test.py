"""Tests the account of the memory that connections hold together."""

import testtools
from eliot import testing
from twisted.internet import task

from toucanspread.ops.http import (
    http1_client,
    http1_server,
    http1_test,
    receive_memory,
)

LIMIT_BYTES = 100_000
HEAD = b"HTTP/1.1 200 OK\r\n"
BODY = HEAD + b"\r\n"


class FakeHolder(receive_memory.Holder):
    peer = ""

    def __init__(self, error=None, peer="127.0.0.1:1"):
        self.peer = peer
        self.gave_way = False
        self._error = error

    def give_way(self):
        self.gave_way = True
        if self._error is not None:
            raise self._error


class KeepingListener(http1_test.RecordingListener):
    """Keeps the body, as listeners of answers that are no streams do."""

    max_body_bytes = 10 * LIMIT_BYTES

    def __init__(self, account):
        super().__init__()
        self.account = account

    @property
    def held_bytes(self):
        return len(self.body)


class MemoryAccountTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.account = receive_memory.MemoryAccount("a", LIMIT_BYTES)

    def test_the_largest_holder_gives_way_to_a_small_one(self):
        holders = [FakeHolder() for _ in range(3)]
        for holder, size_bytes in zip(holders, (30_000, 69_000, 2_000), strict=True):
            self.account.update(holder, size_bytes)
        self.assertEqual([False, True, False], [h.gave_way for h in holders])
        self.assertEqual(32_000, self.account.held_bytes)

    def test_many_answers_of_one_server_end_no_larger_one_of_another(self):
        stalled = [FakeHolder(peer="127.0.0.1:1") for _ in range(12)]
        for holder in stalled:
            self.account.update(holder, 8_000)
        other = FakeHolder(peer="127.0.0.1:2")
        self.account.update(other, 12_000)
        self.assertFalse(other.gave_way)
        self.assertEqual(1, sum(holder.gave_way for holder in stalled))

    def test_a_holder_that_shrinks_or_ends_leaves_room(self):
        first, second = FakeHolder(), FakeHolder()
        self.account.update(first, 90_000)
        self.account.update(first, 5_000)
        self.account.update(second, 90_000)
        self.account.update(second, 0)
        self.account.update(first, 95_000)
        self.assertEqual([False, False], [first.gave_way, second.gave_way])
        self.assertEqual(95_000, self.account.held_bytes)

    def test_many_holders_never_exceed_the_limit_together(self):
        holders = [FakeHolder() for _ in range(600)]
        for size_bytes in range(1_000, 20_000, 1_000):
            for holder in holders:
                if not holder.gave_way:
                    self.account.update(holder, size_bytes)
                self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)

    @testing.capture_logging(None)
    def test_an_error_of_the_one_that_gives_way_does_not_reach_another(self, logger):
        self.account.update(FakeHolder(ValueError("a")), LIMIT_BYTES)
        self.account.update(FakeHolder(), 10_000)
        self.assertEqual(10_000, self.account.held_bytes)
        events = [message["message_type"] for message in logger.messages]
        self.assertEqual(["holder_gave_way", "handler_failed"], events)


class ClientMemoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.account = receive_memory.MemoryAccount("a", LIMIT_BYTES)

    def send(self):
        """Return a connection with a request in progress, and its listener."""
        connection = http1_client.ClientConnection(task.Clock())
        connection.makeConnection(http1_test.Transport())
        listener = KeepingListener(self.account)
        connection.send(b"request", listener)
        return connection, listener

    def test_endless_bodies_end_and_a_small_answer_beside_is_complete(self):
        endless = [self.send() for _ in range(5)]
        small, listener = self.send()
        small.dataReceived(HEAD + b"Content-Length: 6\r\n\r\nabc")
        for connection, _ in endless:
            connection.dataReceived(BODY + b"a" * 30_000)
        small.dataReceived(b"def")
        self.assertEqual(["end"], listener.ends)
        ended = [each.ends for _, each in endless if each.ends]
        self.assertEqual([[http1_client.ExchangeFailure.TOO_LARGE]] * 2, ended)
        self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)

    def test_header_lines_count_with_their_objects(self):
        connection, _ = self.send()
        connection.dataReceived(HEAD + b"A: b\r\n" * 100)
        self.assertGreater(
            self.account.held_bytes, 100 * receive_memory.HEADER_LINE_BYTES
        )

    def test_nothing_is_counted_once_an_exchange_has_ended(self):
        connection, _ = self.send()
        connection.dataReceived(HEAD + b"Content-Length: 2\r\n\r\nok")
        self.assertEqual(0, self.account.held_bytes)
        for end in ("cancel", "connectionLost"):
            connection, _ = self.send()
            connection.dataReceived(BODY + b"abc")
            self.assertGreater(self.account.held_bytes, 0)
            getattr(connection, end)()
            self.assertEqual(0, self.account.held_bytes, end)


class ServerMemoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.handler = http1_test.RecordingHandler()
        self.handler.limits = http1_server.Limits()
        self.account = receive_memory.MemoryAccount("a", LIMIT_BYTES, small_bytes=1_000)

    def connect(self):
        connection = http1_server.ServerConnection(self.handler, self.clock, set())
        connection.account = self.account
        connection.makeConnection(http1_test.Transport())
        return connection

    def receive(self, connection, length_bytes, received_bytes):
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % length_bytes
        connection.dataReceived(head + b"a" * received_bytes)

    def test_the_largest_incomplete_request_is_refused_at_once(self):
        connections = [self.connect() for _ in range(4)]
        for connection, size_bytes in zip(
            connections, (900, 30_000, 60_000, 20_000), strict=True
        ):
            self.receive(connection, 100_000, size_bytes)
        answers = [connection.transport.value() for connection in connections]
        self.assertEqual([b"", b"", b""], answers[:2] + answers[3:])
        self.assertTrue(answers[2].startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1\r\n", answers[2])
        self.assertEqual([], self.handler.exchanges)

    def test_a_small_request_is_not_refused_beside_large_ones_in_progress(self):
        for _ in range(2):
            self.receive(self.connect(), 60_000, 60_000)
        small = self.connect()
        self.receive(small, 500, 499)
        small.dataReceived(b"a")
        self.assertEqual(3, len(self.handler.exchanges))

    def test_nothing_is_counted_once_requests_have_ended(self):
        connection = self.connect()
        self.receive(connection, 60_000, 60_000)
        self.assertEqual(60_000, self.account.held_bytes)
        self.handler.exchanges[0].respond(200)
        self.assertEqual(0, self.account.held_bytes)
        for received_bytes in (60_000, 50_000):
            connection = self.connect()
            self.receive(connection, 60_000, received_bytes)
            self.assertGreater(self.account.held_bytes, 0)
            connection.connectionLost()
            self.assertEqual(0, self.account.held_bytes, received_bytes)
        connection = self.connect()
        self.receive(connection, 60_000, 50_000)
        self.clock.advance(self.handler.limits.head_timeout_s)
        self.assertEqual(0, self.account.held_bytes)

    def test_the_largest_unread_answer_ends_and_the_others_stay(self):
        connections = [self.connect() for _ in range(3)]
        for connection in connections:
            connection.unread_account = self.account
            self.receive(connection, 0, 0)
            connection.pauseProducing()
        for exchange, size_bytes in zip(
            self.handler.exchanges, (20_000, 60_000, 30_000), strict=True
        ):
            exchange.respond(200, body=b"a" * size_bytes)
        aborted = [connection.transport.disconnecting for connection in connections]
        self.assertEqual([False, True, False], aborted)
        for connection in connections:
            connection.resumeProducing()
        self.assertEqual(0, self.account.held_bytes)
