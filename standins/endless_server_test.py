"""Tests that answers without end are abandoned at a limit, over loopback."""

import asyncio

import testtools

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor

from standins import endless_server
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, event_stream
from toucanspread.core.view import source_selection, store_view
from toucanspread.core.weights import piece_placement, staging_events
from toucanspread.ops.copies import (
    excerpt_client,
    excerpt_codec,
    prefix_store,
    view_sync,
)
from toucanspread.ops.forwarding import engine_answer
from toucanspread.ops.http import http1, http1_client, http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache
from toucanspread.platform import engine, requests, store

TIMEOUT_S = 1.0
ENGINE_TIMEOUT_S = 10.0
SHORT_BYTES = engine.MAX_SHORT_ANSWER_BYTES
MAX_PIECE_BYTES = 1_000_000
KEY = piece_placement.PieceKey(data.ModelName("m"), 2, 3)
ORDER = staging_events.SendOrder(2, staging_events.SwitchMode.WAIT, 0)
# What the server has sent beyond the limit waits in the sockets of both sides.
SOCKETS_BYTES = 8 * 1024 * 1024


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(coroutine)


class DispatchListener(engine_answer.DispatchListener):
    """Holds how a dispatch has failed, as a future."""

    call = entry_data.Call("id-1", "h", "/", None)

    def __init__(self):
        self.failure = loop.EVENT_LOOP.create_future()

    def on_engine_head(self, statement):
        return

    def on_begun(self, weights_version):
        return

    def on_stream_opened(self):
        return

    def on_events(self, events, last_event_id):
        return

    def on_answer(self, status):
        raise AssertionError("the answer has no end")

    def on_failure(self, failure):
        self.failure.set_result(failure)


class EndlessAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = http1_pool.ConnectionPool(reactor)

    def start_server(self, answer):
        server = endless_server.EndlessServer(answer)
        port = reactor.listenTCP(0, server, interface="127.0.0.1")
        self.addCleanup(lambda: run(loop.as_future(port.stopListening())))
        return server, f"127.0.0.1:{port.getHost().port}"

    def check_abandoned(self, answers, max_sent_bytes):
        """Check that calls fail before their time is up and close the connection."""
        failures = {name: self.call(answer) for name, answer in answers.items()}
        sizes_bytes = {name: sent_bytes for name, (_, sent_bytes) in failures.items()}
        excessive = {
            n: size for n, size in sizes_bytes.items() if size > max_sent_bytes
        }
        self.assertEqual({}, excessive)
        too_large = http1_client.ExchangeFailure.TOO_LARGE
        expected = {name: too_large for name in answers}
        kinds = {name: error.failure for name, (error, _) in failures.items()}
        self.assertEqual(expected, kinds)

    def call(self, answer):
        """Return the error of a call, and how many bytes the server has sent by then.

        The connection has to be closed, and none may be left for another call.
        """
        server, address = self.start_server(answer)
        head = http1.RequestHead(b"GET", b"/", [])
        call = self.pool.call(address, head, timeout_s=TIMEOUT_S)
        error = self.assertRaises(http1_pool.CallError, run, call)
        run(self.wait_for_close(server))
        self.assertIsNone(self.pool.pop_idle(address, None))
        return error, server.sent_bytes

    async def wait_for_close(self, server):
        async with asyncio.timeout(TIMEOUT_S):
            while server.closed_count < server.opened_count:
                await asyncio.sleep(0.01)

    def test_a_call_abandons_a_head_without_end(self):
        self.check_abandoned(
            endless_server.ENDLESS_HEADS, http1.MAX_HEAD_BYTES + SOCKETS_BYTES
        )

    def test_a_call_abandons_a_body_without_end(self):
        self.check_abandoned(
            endless_server.ENDLESS_BODIES,
            # Small chunks take five times the bytes of their content.
            6 * http1_client.DEFAULT_MAX_BODY_BYTES + SOCKETS_BYTES,
        )

    def check_client(self, calls, error_type):
        """Check that calls of a client say that the answer is too large.

        :param calls: functions that make a call on an address, with their limits in
            bytes.
        """
        problems = {}
        for name, (make_call, max_bytes) in calls.items():
            answer = endless_server.ENDLESS_BODIES["no framing"]
            server, address = self.start_server(answer)
            error = self.assertRaises(error_type, run, make_call(address))
            run(self.wait_for_close(server))
            is_abandoned = server.sent_bytes < max_bytes + SOCKETS_BYTES
            if not is_abandoned or "too large" not in str(error):
                problems[name] = (str(error), server.sent_bytes)
        self.assertEqual({}, problems)

    def test_the_client_of_the_store_abandons_answers_without_end(self):
        def make_store(address):
            return store.PlatformStore(self.pool, address)

        write_bytes = store.MAX_WRITE_ANSWER_BYTES
        calls = {
            "range": (lambda a: make_store(a).read_all("op/"), store.MAX_PAGE_BYTES),
            "watch": (
                lambda a: make_store(a).watch("op/", 1, 0.5),
                store.MAX_WATCH_BYTES,
            ),
            "put": (lambda a: make_store(a).put("k", b"", 1), write_bytes),
            "grant": (lambda a: make_store(a).grant_lease(4.0), write_bytes),
            "renew": (lambda a: make_store(a).renew_lease(1), write_bytes),
            "revoke": (lambda a: make_store(a).revoke_lease(1), write_bytes),
        }
        self.check_client(calls, prefix_store.LargeAnswerError)

    def test_the_client_of_an_engine_abandons_answers_without_end(self):
        def make_engine(address):
            return engine.LocalEngine(self.pool, address, MAX_PIECE_BYTES)

        calls = {
            "report": (lambda a: make_engine(a).read_report(), SHORT_BYTES),
            "pieces": (lambda a: make_engine(a).list_pieces("m"), SHORT_BYTES),
            "piece": (lambda a: make_engine(a).get_piece("m", 1), MAX_PIECE_BYTES),
            "put": (lambda a: make_engine(a).put_piece("m", 1, b"a"), SHORT_BYTES),
            "order": (lambda a: make_engine(a).send_order("m", ORDER), SHORT_BYTES),
        }
        self.check_client(calls, engine_control.EngineError)

    def test_clients_of_the_origin_and_of_entries_abandon_answers_without_end(self):
        def make_origin(address):
            return engine.Origin(self.pool, lambda: address, lambda _: MAX_PIECE_BYTES)

        pool, manifest_bytes = self.pool, piece_cache.MAX_MANIFEST_BYTES
        calls = {
            "manifest": (lambda a: make_origin(a).read_digests("m", 2), manifest_bytes),
            "piece": (lambda a: make_origin(a).read_piece(KEY), MAX_PIECE_BYTES),
            "manifest of an entry": (
                lambda a: piece_cache.fetch_digests(pool, a, KEY),
                manifest_bytes,
            ),
            "piece of an entry": (
                lambda a: piece_cache.fetch_piece(pool, a, KEY, MAX_PIECE_BYTES),
                MAX_PIECE_BYTES,
            ),
        }
        self.check_client(calls, piece_cache.PieceError)

    def test_followers_abandon_excerpts_without_end(self):
        request = excerpt_client.ExcerptRequest(0, ("op/",))
        fetch = excerpt_client.fetch_excerpt
        calls = {
            "excerpt": (
                lambda a: fetch(self.pool, a, request, TIMEOUT_S),
                excerpt_codec.MAX_ENCODED_BYTES,
            )
        }
        self.check_client(calls, excerpt_client.ExcerptError)

    def test_a_store_with_answers_without_end_is_not_asked_in_a_tight_loop(self):
        answer = endless_server.ENDLESS_BODIES["no framing"]
        server, address = self.start_server(answer)
        synchronizer = view_sync.ViewSynchronizer(
            store_view.View(),
            store.PlatformStore(self.pool, address),
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
            ("op/",),
            list,
            list,
            lambda changes: None,
        )
        duration_s = 2.5 * source_selection.FAILED_SOURCE_BACKOFF_S
        following = asyncio.wait_for(synchronizer.run(), duration_s)
        self.assertRaises(TimeoutError, run, following)
        run(self.wait_for_close(server))
        self.assertIn(server.opened_count, (2, 3))

    def send_to_engine(self, address):
        """Return how a dispatch to an engine fails."""
        listener = DispatchListener()
        dispatch = decisions.SendToEngine(
            1, "i-1", data.Address(address), ENGINE_TIMEOUT_S, ENGINE_TIMEOUT_S
        )
        answer = engine_answer.EngineAnswer(
            listener, requests.PlatformDialect(), reactor, dispatch
        )
        request = http1.render_request(http1.RequestHead(b"GET", b"/", []), b"")
        answer.outgoing = self.pool.send(address, lambda: request, answer)
        return run(asyncio.wait_for(listener.failure, ENGINE_TIMEOUT_S))

    def test_answers_of_engines_without_end_are_malformed(self):
        limits_bytes = {
            "body": engine_answer.MAX_ANSWER_BYTES,
            "late body": engine_answer.MAX_ANSWER_BYTES,
            "event": event_stream.MAX_EVENT_BYTES,
            "events": engine_answer.MAX_STREAM_BYTES,
        }
        for name, answer in endless_server.ENDLESS_ENGINE_ANSWERS.items():
            server, address = self.start_server(answer)
            failure = self.send_to_engine(address)
            self.assertEqual(decisions.DispatchFailure.MALFORMED, failure, name)
            run(self.wait_for_close(server))
            max_sent_bytes = limits_bytes[name] + SOCKETS_BYTES
            self.assertLess(server.sent_bytes, max_sent_bytes, name)
            self.assertIsNone(self.pool.pop_idle(address, None), name)
