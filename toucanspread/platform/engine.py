"""HTTP clients of an engine's control interface and of the origin of weights."""

from collections.abc import Callable
from urllib.parse import quote

import msgspec

from toucanspread.core import data, decoder
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import piece_placement, staging_events
from toucanspread.ops.http import answer_match, http1, http1_pool
from toucanspread.ops.pieces import engine_control, manifest_match, piece_cache
from toucanspread.ops.telemetry import metric_buffer
from toucanspread.platform import called_server, decoding

ENGINE_TIMEOUT_S = 1.0  # on the same machine; an engine that is down does not answer
ORIGIN_TIMEOUT_S = 4.0  # one piece takes over a second on the origin's narrow link
MAX_SHORT_ANSWER_BYTES = 262_144  # reports, lists of pieces, answers to orders
ORDER_ACCEPTED_STATUS = 202
JSON_TYPE = http1.Header(b"Content-Type", b"application/json")


class _Manifest(msgspec.Struct, frozen=True):
    digests: list[str]


class _StagedPieces(msgspec.Struct, frozen=True):
    held: list[int] = []


class _Order(msgspec.Struct, frozen=True):
    operation: str
    model: str
    version: int
    switch_mode: str
    expected: int  # number of orders that the engine has begun before this one


class Origin(piece_cache.PieceOrigin):
    """Client of the service that holds all weights.

    :param address: returns the ``ip:port`` of the service, or None while it is unknown.
    :param max_piece_bytes: returns the limit for a piece of a model.
    """

    def __init__(
        self,
        pool: http1_pool.ConnectionPool,
        address: Callable[[], data.Address | None],
        max_piece_bytes: Callable[[data.ModelName], int],
    ):
        self._pool = pool
        self._address = address
        self._max_piece_bytes = max_piece_bytes
        self._server = called_server.CalledServer(pool.reactor.seconds)

    async def read_digests(
        self, model: str, version: int, has_own_connection: bool = False
    ) -> tuple[str, ...]:
        """Return the hex digests of a version's pieces, in order."""
        key = piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)
        reply = await self._get(
            f"/-/manifest/{quote(model)}?version={version}",
            piece_cache.MAX_MANIFEST_BYTES,
            manifest_match.ManifestMatcher(key, _decode_names),
            has_own_connection,
        )
        try:
            manifest = decoder.decode_json(reply.body, _Manifest)
        except decoder.MalformedError as error:
            raise piece_cache.PieceError(
                f"malformed manifest of the origin: {error}"
            ) from error
        return tuple(manifest.digests)

    async def read_piece(self, key: piece_placement.PieceKey) -> bytes:
        """Return a piece, unverified."""
        target = f"/-/piece/{quote(key.model)}?num={key.number}&version={key.version}"
        return (await self._get(target, self._max_piece_bytes(key.model))).body

    async def _get(
        self,
        target: str,
        max_body_bytes: int,
        matcher: answer_match.AnswerMatcher | None = None,
        has_own_connection: bool = False,
    ) -> http1_pool.Reply:
        address = self._address()
        if address is None:
            raise piece_cache.PieceError("no configuration with an origin is known yet")
        left_s = self._server.backoff_left_s(address)
        if left_s > 0:
            raise piece_cache.PieceError(
                f"the origin wants no calls for {left_s:.1f} s"
            )
        head = http1.RequestHead(b"GET", target.encode(), [])
        try:
            reply = await self._pool.call(
                address,
                head,
                timeout_s=ORIGIN_TIMEOUT_S,
                max_body_bytes=max_body_bytes,
                has_own_connection=has_own_connection,
                matcher=matcher,
            )
        except http1_pool.CallError as error:
            raise piece_cache.PieceError(str(error)) from error
        self._server.record(address, reply)
        if reply.status != 200:
            raise piece_cache.PieceError(
                f"the origin answered with status {reply.status}"
            )
        return reply


class LocalEngine(engine_control.EngineControl):
    """Client of the engine on the same machine.

    An engine may send an older answer once more where the next one is expected, and
    calls to it have no id. So reports share connections with nothing else, each order
    has its own, and staged pieces are verified by their digests.

    :param address: ``ip:port`` of the engine.
    :param max_piece_bytes: limit for a staged piece.
    """

    def __init__(
        self, pool: http1_pool.ConnectionPool, address: str, max_piece_bytes: int
    ):
        self._pool = pool
        self._report_pool = http1_pool.ConnectionPool(pool.reactor)
        self._address = address
        self._max_piece_bytes = max_piece_bytes
        self._server = called_server.CalledServer(pool.reactor.seconds)

    async def read_report(self) -> entry_data.EngineReport:
        """Return the engine's current report.

        :raises engine_control.EngineError: when there is no usable answer.
        """
        reply = await self._call(self._report_pool, b"GET", "/-/report")
        try:
            return decoding.decode_report(reply.body)
        except decoder.MalformedError as error:
            raise engine_control.EngineError(
                f"malformed report of the engine: {error}"
            ) from error

    async def list_pieces(self, model: str) -> list[int]:
        """Return the numbers of the staged pieces.

        :raises engine_control.EngineError: when there is no usable answer.
        """
        reply = await self._call(
            self._pool, b"GET", f"/-/stage-get/{quote(model)}", accept=(404,)
        )
        if reply.status == 404:
            return []
        try:
            return decoder.decode_json(reply.body, _StagedPieces).held
        except decoder.MalformedError as error:
            raise engine_control.EngineError(
                f"malformed list of the engine's staged pieces: {error}"
            ) from error

    async def get_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece, or None if the engine does not hold it.

        :raises engine_control.EngineError: when there is no usable answer.
        """
        target = f"/-/stage-get/{quote(model)}?num={number}"
        reply = await self._call(
            self._pool,
            b"GET",
            target,
            accept=(404,),
            max_body_bytes=self._max_piece_bytes,
        )
        return None if reply.status == 404 else reply.body

    async def put_piece(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece at the engine.

        :raises engine_control.EngineError: when the engine does not accept it.
        """
        target = f"/-/stage-put/{quote(model)}?num={number}"
        await self._call(self._pool, b"PUT", target, piece, accept=(201, 202, 204))

    async def send_order(self, model: str, order: staging_events.SendOrder) -> bool:
        """Send an order; return whether the engine has begun it.

        :raises engine_control.EngineError: when there is no usable answer; the engine
            may have begun the order nevertheless.
        """
        request = _Order(
            "start", model, order.version, order.mode.value, order.expected_orders
        )
        body = msgspec.json.encode(request)
        reply = await self._call(
            self._pool,
            b"POST",
            "/-/order",
            body,
            accept=(202, 400, 409, 412, 421),
            has_own_connection=True,
        )
        # After 200 the next report shows the effect.
        return reply.status == ORDER_ACCEPTED_STATUS

    async def _call(
        self,
        pool: http1_pool.ConnectionPool,
        method: bytes,
        target: str,
        body: bytes = b"",
        accept: tuple[int, ...] = (),
        max_body_bytes: int = MAX_SHORT_ANSWER_BYTES,
        has_own_connection: bool = False,
    ) -> http1_pool.Reply:
        left_s = self._server.backoff_left_s(self._address)
        if left_s > 0:
            raise engine_control.EngineError(
                f"the engine wants no calls for {left_s:.1f} s"
            )
        headers = [JSON_TYPE] if body[:1] == b"{" else []
        head = http1.RequestHead(method, target.encode(), headers)
        try:
            reply = await pool.call(
                self._address,
                head,
                body,
                timeout_s=ENGINE_TIMEOUT_S,
                max_body_bytes=max_body_bytes,
                has_own_connection=has_own_connection,
            )
        except http1_pool.CallError as error:
            raise engine_control.EngineError(str(error)) from error
        metric_buffer.count("engine_calls", status=str(reply.status))
        self._server.record(self._address, reply)
        if reply.status != 200 and reply.status not in accept:
            raise engine_control.EngineError(
                f"the engine answered {target} with status {reply.status}"
            )
        return reply


def _decode_names(body: bytes) -> manifest_match.ManifestNames:
    return decoder.decode_json(body, manifest_match.ManifestNames)
