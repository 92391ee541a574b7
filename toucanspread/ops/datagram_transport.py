"""Small one-way messages as UDP datagrams, on the port number that gRPC has on TCP.

A datagram costs a fraction of a gRPC call and needs no connection. A message that is
too large for a datagram is sent by ``send_large``. After its first messages to an
address, a process identifies itself by a short reference instead of the full envelope.
A receiver that does not know the reference drops the message and requests a full
envelope. Malformed datagrams are counted, logged at a bounded rate and dropped.
"""

from collections.abc import Callable, Mapping

from twisted.internet import error, protocol, reactor

from toucanspread.core import data, effects, events
from toucanspread.ops import codec, runtime
from toucanspread.ops.telemetry import logs, metrics

MAX_DATAGRAM_BYTES = 1_200  # fits common path MTUs without fragmentation
LOG_INTERVAL_S = 10.0
# Messages to a new address carry the full envelope before references are used.
INITIAL_FULL_ENVELOPE_COUNT = 2
# Repeats the full envelope for a receiver whose request for it was lost.
FULL_ENVELOPE_INTERVAL_COUNT = 64
MAX_SENDER_COUNT = 8_192
MAX_ADDRESS_COUNT = 8_192

SendLarge = Callable[[data.Address, data.Message], None]


class DatagramTransport(runtime.Adapter):
    """Executes :class:`effects.Send` and posts the received messages.

    :param identity: the sender on every message; its address is bound.
    :param post: called with the received messages as events.
    :param send_large: sends messages that exceed a datagram.
    """

    def __init__(
        self,
        identity: data.Identity,
        post: Callable[[data.Event], None],
        send_large: SendLarge,
    ) -> None:
        self._identity = identity
        self._post = post
        self._send_large = send_large
        self._port = None
        self._own_reference = codec.compute_reference(identity)
        self._senders: dict[int, data.Identity] = {}
        self._sent_counts: dict[data.Address, int] = {}
        self._failure_count = 0
        self._next_log_s = 0.0

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handler of :class:`effects.Send`."""
        return {effects.Send: lambda effect: self.send(effect.to, effect.message)}

    async def start(self) -> None:
        """Bind the port."""
        host, _, port = self._identity.address.rpartition(":")
        self._port = reactor.listenUDP(
            int(port), _DatagramReceiver(self), interface=host, maxPacketSize=65_536
        )

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._port.getHost().port

    async def stop(self) -> None:
        """Release the port."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def send(self, address: data.Address, message: data.Message) -> None:
        """Send a message; a failed send counts as a lost message."""
        payload = self._encode(address, message)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self._send_large(address, message)
            return
        host, _, port = address.rpartition(":")
        try:
            self._write(payload, (host, int(port)))
        except (OSError, ValueError, error.MessageLengthError) as failure:
            self._log_failure("datagram_unsent", address, str(failure))

    def receive(self, payload: bytes, source: tuple[str, int]) -> None:
        """Decode a received datagram and post its message."""
        try:
            sender, message = self._decode(payload, source)
        except codec.CodecError as failure:
            metrics.count("datagrams_refused", 1, {})
            self._log_failure(
                "datagram_refused", f"{source[0]}:{source[1]}", str(failure)
            )
            return
        if sender is not None and message is not None:
            self._post(events.MessageReceived(sender, message))

    def _encode(self, address: data.Address, message: data.Message) -> bytes:
        sent_count = self._sent_counts.get(address, 0)
        if sent_count == 0 and len(self._sent_counts) >= MAX_ADDRESS_COUNT:
            self._sent_counts.clear()
        self._sent_counts[address] = sent_count + 1
        if (
            sent_count >= INITIAL_FULL_ENVELOPE_COUNT
            and sent_count % FULL_ENVELOPE_INTERVAL_COUNT
        ):
            return codec.encode_short(self._own_reference, message)
        return codec.encode(self._identity, message)

    def _decode(
        self, payload: bytes, source: tuple[str, int]
    ) -> tuple[data.Identity | None, data.Message | None]:
        if not codec.is_short(payload):
            sender, message, _ = codec.decode(payload)
            self._record_sender(sender)
            return sender, message
        reference, message = codec.decode_short(payload)
        if message is None:
            self._sent_counts.pop(data.Address(f"{source[0]}:{source[1]}"), None)
            return None, None
        sender = self._senders.get(reference)
        if sender is None:
            self._write(codec.encode_short(self._own_reference, None), source)
        return sender, message

    def _record_sender(self, sender: data.Identity) -> None:
        if len(self._senders) >= MAX_SENDER_COUNT:
            del self._senders[next(iter(self._senders))]
        self._senders[codec.compute_reference(sender)] = sender

    def _write(self, payload: bytes, target: tuple[str, int]) -> None:
        if self._port is not None:
            self._port.write(payload, target)

    def _log_failure(self, event: str, peer: str, why: str) -> None:
        self._failure_count += 1
        if reactor.seconds() < self._next_log_s:
            return
        self._next_log_s = reactor.seconds() + LOG_INTERVAL_S
        logs.write(event, peer=peer, why=why, refused=self._failure_count)


class _DatagramReceiver(protocol.DatagramProtocol):
    def __init__(self, transport: DatagramTransport):
        self._datagram_transport = transport

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        self._datagram_transport.receive(datagram, addr)
