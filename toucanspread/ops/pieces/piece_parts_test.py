"""Pieces of weights are fetched in parts, whatever the answers look like."""

import asyncio
from types import SimpleNamespace

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.weights import piece_placement
from toucanspread.ops.http import http1, http1_pool
from toucanspread.ops.pieces import piece_cache, piece_parts
from toucanspread.platform import entry_handlers

KEY = piece_placement.PieceKey(data.ModelName("m"), 2, 5)
PIECE = bytes(range(200)) * 5
MAX_BYTES = 5_000


class Exchange:
    """A request to the control address of an entry, and its answer."""

    is_finished = False

    def __init__(self, head):
        self.head = head
        self.reply = None

    def respond(self, status, headers=(), body=b""):
        head = http1.AnswerHead(status, list(headers))
        self.reply = http1_pool.Reply(status, head, body, transfer_s=len(body) / 1_000)


class Pool(http1_pool.ConnectionPool):
    """Calls the handler of an entry without a network."""

    def __init__(self):
        super().__init__(task.Clock())
        self.part_sizes = []
        self.spoil_head = None
        pieces = SimpleNamespace(get_piece=self._get_piece)
        program = SimpleNamespace(pieces=pieces, is_leaving=False)
        self._handler = entry_handlers.ControlHandler(program)

    async def _get_piece(self, key):
        return PIECE

    async def call(
        self,
        address,
        head,
        body=b"",
        timeout_s=1.0,
        max_body_bytes=0,
        matcher=None,
    ):
        exchange = Exchange(head)
        await self._handler._send_piece(exchange, KEY, only_held=False)
        reply = exchange.reply
        self.part_sizes.append(len(reply.body))
        if self.spoil_head is not None:
            reply = reply._replace(head=http1.AnswerHead(206, self.spoil_head))
        return reply


class PiecePartsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = Pool()

    def fetch(self, part_bytes):
        return asyncio.run(
            piece_cache.fetch_piece_in_parts(
                self.pool, "e:1", KEY, MAX_BYTES, part_bytes
            )
        )

    def test_no_answer_holds_the_link_for_longer_than_a_part(self):
        for part_bytes in (1, 250, 333, 999, 1_000, 1_001):
            self.pool.part_sizes.clear()
            fetched = self.fetch(part_bytes)
            self.assertEqual(PIECE, fetched.body)
            self.assertLessEqual(max(self.pool.part_sizes), part_bytes)
            longest_s = max(self.pool.part_sizes) / 1_000
            self.assertEqual(longest_s, fetched.longest_part_s)
            self.assertEqual(-(-len(PIECE) // part_bytes), len(self.pool.part_sizes))

    def test_malformed_parts_end_the_fetch(self):
        for value in (
            None,
            b"bytes 7-9/1000",
            b"bytes 0-9",
            b"bytes -1-9/1000",
            b"bytes 0-9/" + b"9" * 40,
        ):
            headers = [] if value is None else [http1.Header(b"Content-Range", value)]
            self.pool.spoil_head = headers
            with testtools.ExpectedException(piece_cache.PieceError):
                self.fetch(250)

    def test_a_piece_that_claims_to_be_endless_ends_at_the_limit(self):
        class Endless(Pool):
            async def call(self, *arguments, **options):
                reply = await super().call(*arguments, **options)
                first = sum(self.part_sizes[:-1])
                range_value = b"bytes %d-%d/999999999" % (first, first)
                head = http1.AnswerHead(
                    206, [http1.Header(b"Content-Range", range_value)]
                )
                return reply._replace(status=206, head=head, body=PIECE[:250])

        self.pool = Endless()
        self.pool._handler = SimpleNamespace(_send_piece=self._respond_with_part)
        with testtools.ExpectedException(piece_cache.PieceError):
            self.fetch(250)

    async def _respond_with_part(self, exchange, key, only_held):
        exchange.respond(206, body=PIECE[:250])

    def test_malformed_ranges_are_answered_with_the_whole_piece(self):
        for value in (b"bytes=9-3", b"bytes=-5", b"items=0-1", b"bytes=0-1,4-5"):
            head = http1.RequestHead(b"GET", b"/", [http1.Header(b"Range", value)])
            self.assertIsNone(piece_parts.parse_range(head))

    def test_a_range_behind_the_end_is_refused(self):
        byte_range = piece_parts.ByteRange(len(PIECE), len(PIECE) + 5)
        head = http1.RequestHead(b"GET", b"/", [byte_range.header])
        reply = asyncio.run(self.pool.call("e:1", head))
        self.assertEqual(416, reply.status)
