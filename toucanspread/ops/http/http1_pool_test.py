"""Tests over loopback which connections of the pool carry a request."""

import asyncio
import contextlib

import testtools
from twisted.internet import reactor, task

from standins import running_reactor
from toucanspread.ops import loop
from toucanspread.ops.http import answer_match, http1, http1_client, http1_pool

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Listener(http1_client.AnswerListener):
    """Waits for the end of an answer."""

    def __init__(self):
        self.ended = asyncio.Event()

    def on_head(self, head):
        return True

    def on_body_data(self, part):
        return

    def on_end(self):
        self.ended.set()

    def on_failure(self, failure):
        raise AssertionError(failure)


class OddAddressTest(testtools.TestCase):
    def test_a_call_to_an_address_that_is_none_fails_like_an_unreachable_one(self):
        async def call_each():
            for address in ("", "here", "a..b:80", f"{'a' * 70}:80", "a:99999", "a:-"):
                head = http1.RequestHead(b"GET", b"/", [])
                try:
                    await pool.call(address, head)
                except http1_pool.CallError as error:
                    failures.append(error.failure)

        running_reactor.start(self)
        failures = []
        pool = http1_pool.ConnectionPool(reactor)
        loop.EVENT_LOOP.run_until_complete(call_each())
        self.assertEqual([http1_client.ExchangeFailure.NOT_CONNECTED] * 6, failures)


class IdleTimeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.connections = []
        self.idle_count = 0
        self.pool = http1_pool.ConnectionPool(reactor)

    async def serve(self, reader, writer):
        number = len(self.connections)
        self.connections.append(0)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.connections[number] += 1
                writer.write(ANSWER)
        writer.close()

    async def send_all(self, *idle_times_s):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        headers = [http1.Header(b"Host", b"h")]
        request = http1.render_request(http1.RequestHead(b"GET", b"/", headers), b"")
        for max_idle_s in idle_times_s:
            listener = Listener()
            self.pool.send(address, lambda: request, listener, max_idle_s)
            await asyncio.wait_for(listener.ended.wait(), 5.0)
            await asyncio.sleep(0.01)
        self.idle_count = 0
        while connection := self.pool.pop_idle(address, None):
            self.idle_count += 1
            connection.cancel()
        server.close()

    def send(self, *idle_times_s):
        """Send requests one after the other; return how many each connection got."""
        loop.EVENT_LOOP.run_until_complete(self.send_all(*idle_times_s))
        return self.connections

    def test_idle_connection_is_used_again(self):
        self.assertEqual([3], self.send(None, None, 0.5))

    def test_request_that_needs_a_new_connection_leaves_the_idle_ones(self):
        self.assertEqual([1, 1], self.send(None, 0.0))
        self.assertEqual(2, self.idle_count)


class ArrivingAnswerTest(testtools.TestCase):
    """The caller is told at which pace an answer arrives."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.progress = []

    def receive(self, *parts, status=200, headers=()):
        """Receive a part of an answer each second."""
        collector = http1_pool._AnswerCollector(1_000, self.clock.seconds)
        collector.on_arriving = self.progress.append
        collector.on_head(http1.AnswerHead(status, list(headers)))
        for part in parts:
            self.clock.advance(1.0)
            collector.on_body_data(part)
        return [(progress.share, progress.expected_s) for progress in self.progress]

    async def receive_in_loop(self, *parts, **options):
        return self.receive(*parts, **options)

    def test_the_expected_time_follows_from_the_length_and_the_pace(self):
        length = http1.Header(b"Content-Length", b"400")
        receiving = self.receive_in_loop(b"x" * 100, b"x" * 300, headers=[length])
        self.assertEqual([(0.25, 4.0), (1.0, 2.0)], asyncio.run(receiving))

    def test_no_time_is_expected_of_an_error_or_of_an_answer_without_length(self):
        length = http1.Header(b"Content-Length", b"400")
        receiving = self.receive_in_loop(b"x", status=503, headers=[length])
        self.assertEqual([], asyncio.run(receiving))
        self.assertEqual([], asyncio.run(self.receive_in_loop(b"x")))


class LargeAnswerTest(testtools.TestCase):
    """A server answers with a head that declares the size of the body."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n")
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        self.closed.set()
        writer.close()

    async def call(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        head = http1.RequestHead(b"GET", b"/", [])
        pool = http1_pool.ConnectionPool(reactor)
        try:
            await pool.call(f"{host}:{port}", head, timeout_s=5.0, max_body_bytes=100)
        except http1_pool.CallError as error:
            await asyncio.wait_for(self.closed.wait(), 5.0)
            return error.failure
        finally:
            server.close()

    def test_the_body_of_an_answer_that_is_too_large_is_not_received(self):
        failure = loop.EVENT_LOOP.run_until_complete(self.call())
        self.assertEqual(http1_client.ExchangeFailure.TOO_LARGE, failure)


class BodyMatcher(answer_match.AnswerMatcher):
    """Expects a body; an empty one says nothing."""

    def __init__(self, body):
        self._body = body

    def match(self, head, body):
        if not body:
            return answer_match.Match.UNNAMED
        is_own = body == self._body
        return answer_match.Match.OWN if is_own else answer_match.Match.OTHER


class MatchTest(testtools.TestCase):
    """A server answers with prepared bodies, whichever connection a call comes on."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.connections = []
        self.pool = http1_pool.ConnectionPool(reactor)

    async def serve(self, reader, writer):
        number = len(self.connections)
        self.connections.append(0)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.connections[number] += 1
                status, body = self.answers.pop(0)
                line = b"HTTP/1.1 %d Any\r\nContent-Length: %d\r\n\r\n%b"
                writer.write(line % (status, len(body), body))
        writer.close()

    async def call_all(self, methods):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        results = []
        for number, method in enumerate(methods):
            head = http1.RequestHead(method, b"/", [])
            matcher = BodyMatcher(b"%d" % number)
            try:
                reply = await self.pool.call(f"{host}:{port}", head, matcher=matcher)
                results.append(reply.body)
            except http1_pool.MismatchError:
                results.append(None)
            await asyncio.sleep(0.01)
        self.pool.close_idle(f"{host}:{port}")
        await asyncio.sleep(0.01)
        server.close()
        return results

    def call(self, answers, methods):
        """Return the bodies that were taken, None for each call without one."""
        self.answers = answers
        return loop.EVENT_LOOP.run_until_complete(self.call_all(methods))

    def test_own_answers_share_a_connection(self):
        answers = [(200, b"0"), (200, b"1")]
        self.assertEqual([b"0", b"1"], self.call(answers, [b"GET", b"GET"]))
        self.assertEqual([2], self.connections)

    def test_a_read_whose_answer_is_to_another_call_is_sent_once_more(self):
        answers = [(200, b"0"), (200, b"0"), (200, b"1")]
        self.assertEqual([b"0", b"1"], self.call(answers, [b"GET", b"GET"]))
        self.assertEqual([2, 1], self.connections)

    def test_a_read_is_sent_twice_at_most(self):
        answers = [(200, b"9"), (200, b"9"), (200, b"1")]
        self.assertEqual([None, b"1"], self.call(answers, [b"GET", b"GET"]))
        self.assertEqual([1, 1, 1], self.connections)

    def test_a_write_whose_answer_is_to_another_call_is_not_sent_again(self):
        answers = [(200, b"0"), (200, b"0")]
        self.assertEqual([b"0", None], self.call(answers, [b"POST", b"POST"]))
        self.assertEqual([2], self.connections)

    def test_an_answer_that_names_no_call_is_taken_from_a_new_connection_only(self):
        answers = [(200, b""), (200, b""), (200, b"")]
        self.assertEqual([b"", b""], self.call(answers, [b"GET", b"GET"]))
        self.assertEqual([2, 1], self.connections)

    def test_a_failure_needs_no_match(self):
        answers = [(503, b"9"), (404, b"")]
        self.assertEqual([b"9", b""], self.call(answers, [b"GET", b"GET"]))
        self.assertEqual([2], self.connections)


class UnknownStatusTest(testtools.TestCase):
    """A server answers with a status that HTTP does not know, and stays connected.

    The store, the origin, other entries and engines' reports are all asked in this way.
    """

    def setUp(self):
        super().setUp()
        running_reactor.start(self)

    async def call(self, status):
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b Any\r\nContent-Length: 2\r\n\r\nok" % status)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        head = http1.RequestHead(b"GET", b"/", [])
        pool = http1_pool.ConnectionPool(reactor)
        try:
            reply = await pool.call(f"{host}:{port}", head, timeout_s=5.0)
        except http1_pool.CallError as error:
            await asyncio.wait_for(closed.wait(), 5.0)
            return error.failure
        else:
            return reply.status
        finally:
            # An answered connection becomes idle, and closes, in later iterations.
            await asyncio.sleep(0.01)
            pool.close_idle(f"{host}:{port}")
            await asyncio.sleep(0.01)
            server.close()

    def test_it_is_no_answer_and_the_call_ends_at_once(self):
        """Guards against calls that wait for their time limit, or take the body."""
        statuses = (b"000", b"001", b"042", b"099", b"104", b"199", b"600", b"999")
        for status in statuses:
            found = loop.EVENT_LOOP.run_until_complete(self.call(status))
            self.assertIs(http1_client.ExchangeFailure.MALFORMED, found, status)

    def test_final_statuses_are_answers(self):
        for status in (b"200", b"404", b"503", b"599"):
            found = loop.EVENT_LOOP.run_until_complete(self.call(status))
            self.assertEqual(int(status), found)
