"""gRPC server and client between the system's own processes.

Three methods are served by generic handlers, so that no generated code is needed:
``Deliver`` accepts a one-way message, ``Dispatch`` streams an answer and ``FetchChunk``
returns the bytes of a chunk. Bodies are :mod:`codec` envelopes.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import grpc
import grpc.aio

from toucanspread.core import data, effects, events
from toucanspread.ops import codec, loop, runtime
from toucanspread.ops.telemetry import logs

DELIVER = "/toucanspread.Peers/Deliver"
DISPATCH = "/toucanspread.Peers/Dispatch"
FETCH_CHUNK = "/toucanspread.Peers/FetchChunk"
DELIVER_TIMEOUT_S = 2.0
MAX_CHANNELS = 256  # a channel holds a connection and its buffers
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", codec.MAX_ENVELOPE_BYTES),
    ("grpc.max_send_message_length", codec.MAX_ENVELOPE_BYTES),
    # A middlebox may drop a connection without notice; pings detect it.
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS = (
    *CHANNEL_OPTIONS[:2],
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.so_reuseport", 0),
)

DispatchHandler = Callable[
    [data.Identity, data.Dispatch, bytes],
    AsyncIterator[data.AnswerFrame | data.AnswerEnd],
]
ChunkHandler = Callable[[data.ChunkHash], Awaitable[bytes | None]]
Post = Callable[[data.Event], None]


class PeerError(Exception):
    """A call to another process of the system failed.

    :param sent: whether the call may have reached the other process.
    """

    def __init__(self, why: str, *, sent: bool, reason: data.Reason):
        super().__init__(why)
        self.sent = sent
        self.reason = reason


class FetchChunk(data.Message):
    """Request for the bytes of a chunk."""

    chunk_hash: data.ChunkHash


class ChannelPool:
    """Client channels by address; the least recently used ones are closed first."""

    def __init__(self):
        self._channels: dict[data.Address, grpc.aio.Channel] = {}

    def get(self, address: data.Address) -> grpc.aio.Channel:
        """Return the channel to an address; open one if there is none."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self.replace(oldest)
        return channel

    def replace(self, address: data.Address) -> None:
        """Remove a channel, so that the next call opens a new connection.

        The channel closes after the calls in progress on it have ended.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            loop.spawn(channel.close(grace=60.0))

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


class GrpcTransport(runtime.Adapter):
    """The gRPC server of this process and its calls to others.

    :param identity: the sender on every envelope; its address is served.
    :param post: called with the events, usually ``Runtime.post``.
    """

    def __init__(self, identity: data.Identity, post: Post):
        self._identity = identity
        self._post = post
        self._channels = ChannelPool()
        self._dispatch_handler: DispatchHandler | None = None
        self._chunk_handler: ChunkHandler | None = None
        self._server: grpc.aio.Server | None = None

    def _send(self, effect: effects.Send) -> None:
        self.send(effect.to, effect.message)

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handler of :class:`effects.Send`."""
        return {effects.Send: self._send}

    def serve_dispatch(self, handler: DispatchHandler) -> None:
        """Answer dispatches with ``handler``; for endpoint processes only."""
        self._dispatch_handler = handler

    def serve_chunks(self, handler: ChunkHandler) -> None:
        """Serve chunks to other processes with ``handler``."""
        self._chunk_handler = handler

    async def start(self) -> None:
        """Serve on the identity's address.

        :raises OSError: when the address cannot be bound.
        """
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((_MethodHandlers(self),))
        if not self._server.add_insecure_port(self._identity.address):
            raise OSError(f"address {self._identity.address} cannot be bound")
        await self._server.start()

    async def stop(self) -> None:
        """Close the server and the channels."""
        if self._server is not None:
            await self._server.stop(grace=0.5)
        await self._channels.close()

    def send(self, address: data.Address, message: data.Message) -> None:
        """Send a one-way message; a failed send counts as a lost message."""
        loop.spawn(self._deliver(address, message))

    async def _deliver(self, address: data.Address, message: data.Message) -> None:
        call = self._channels.get(address).unary_unary(DELIVER)
        try:
            await call(codec.encode(self._identity, message), timeout=DELIVER_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._replace_unresponsive_channel(address, error)

    async def fetch_chunk(
        self, address: data.Address, chunk_hash: data.ChunkHash, timeout_s: float
    ) -> bytes:
        """Return a chunk's bytes from another process, not yet verified.

        :raises PeerError: when the call fails or takes longer than ``timeout_s``.
        """
        call = self._channels.get(address).unary_unary(FETCH_CHUNK)
        request = codec.encode(self._identity, FetchChunk(chunk_hash))
        try:
            return await call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            self._replace_unresponsive_channel(address, error)
            raise _convert_error(error) from error

    async def dispatch(
        self, address: data.Address, dispatch: data.Dispatch, body: bytes
    ) -> AsyncIterator[data.AnswerFrame | data.AnswerEnd]:
        """Send a dispatch to an endpoint process and yield its answer.

        Closing the iterator cancels the dispatch at the endpoint process.

        :raises PeerError: when the stream breaks before its end.
        """
        call = self._channels.get(address).unary_stream(DISPATCH)
        request = codec.encode(self._identity, dispatch, body)
        stream = call(request, timeout=dispatch.budget_s + DELIVER_TIMEOUT_S)
        try:
            async for payload in stream:
                _, message, _ = codec.decode(payload)
                yield message
        except grpc.aio.AioRpcError as error:
            self._replace_unresponsive_channel(address, error)
            raise _convert_error(error) from error
        except codec.CodecError as error:
            raise PeerError(
                str(error), sent=True, reason=data.Reason.STREAM_BROKE
            ) from error
        finally:
            stream.cancel()

    def replace_connection(self, address: data.Address) -> None:
        """Open a new connection for the next call to ``address``."""
        self._channels.replace(address)

    def _replace_unresponsive_channel(
        self, address: data.Address, error: grpc.aio.AioRpcError
    ) -> None:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._channels.replace(address)

    async def handle_deliver(self, request: bytes, context) -> bytes:
        """Serve ``Deliver``."""
        sender, message, _ = await _decode_request(request, context)
        self._post(events.MessageReceived(sender, message))
        return b""

    async def handle_fetch_chunk(self, request: bytes, context) -> bytes:
        """Serve ``FetchChunk``."""
        _, message, _ = await _decode_request(request, context)
        if self._chunk_handler is None or not isinstance(message, FetchChunk):
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "no chunks here")
        chunk = await self._chunk_handler(message.chunk_hash)
        if chunk is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, "chunk is not held here")
        return chunk

    async def handle_dispatch(self, request: bytes, context):
        """Serve ``Dispatch``."""
        sender, message, body = await _decode_request(request, context)
        if self._dispatch_handler is None or not isinstance(message, data.Dispatch):
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "no dispatches here")
        answer = self._dispatch_handler(sender, message, body)
        try:
            async for frame in answer:
                yield codec.encode(self._identity, frame)
        finally:
            await answer.aclose()


class _MethodHandlers(grpc.GenericRpcHandler):
    """Maps the gRPC methods to their handlers."""

    def __init__(self, transport: GrpcTransport):
        self._handlers = {
            DELIVER: grpc.unary_unary_rpc_method_handler(transport.handle_deliver),
            DISPATCH: grpc.unary_stream_rpc_method_handler(transport.handle_dispatch),
            FETCH_CHUNK: grpc.unary_unary_rpc_method_handler(
                transport.handle_fetch_chunk
            ),
        }

    def service(self, handler_call_details):
        return self._handlers.get(handler_call_details.method)


async def _decode_request(request: bytes, context) -> tuple:
    try:
        return codec.decode(request)
    except codec.CodecError as error:
        logs.write("message_refused", peer=context.peer(), why=str(error))
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))


def _convert_error(error: grpc.aio.AioRpcError) -> PeerError:
    """Convert an error; only a refused connection proves that nothing was sent."""
    detail = error.details() or error.code().name
    if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return PeerError(detail, sent=True, reason=data.Reason.SILENT)
    if error.code() is grpc.StatusCode.NOT_FOUND:
        return PeerError(detail, sent=True, reason=data.Reason.NOT_WHOLE)
    is_refused = (
        error.code() is grpc.StatusCode.UNAVAILABLE
        and "failed to connect" in detail.lower()
    )
    if is_refused:
        return PeerError(detail, sent=False, reason=data.Reason.UNREACHABLE)
    return PeerError(detail, sent=True, reason=data.Reason.STREAM_BROKE)
