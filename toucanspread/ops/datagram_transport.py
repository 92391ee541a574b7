"""Small one-way messages as UDP datagrams, on the port that gRPC has on TCP.

A datagram costs a fraction of a gRPC call and needs no connection. A message too
large for one goes through ``send_large``. After its first messages to an address a
process names itself by a short reference; a receiver that doesn't know the reference
drops the message and asks for the next one in full. Malformed datagrams are counted,
logged at a bounded rate and dropped.
"""

from collections.abc import Callable, Mapping

from twisted.internet import error, protocol, reactor

from toucanspread.core import data, effects, events
from toucanspread.ops import codec, logs, metrics, runtime

MAX_DATAGRAM_BYTES = 1_200  # fits every usual path without fragments
LOG_INTERVAL_S = 10.0
# Messages to a new address carry the full envelope before references are used.
INITIAL_FULL_ENVELOPE_COUNT = 2
# Repeats the full envelope for a receiver whose request for it was lost.
FULL_ENVELOPE_INTERVAL_COUNT = 64
MAX_SENDER_COUNT = 8_192
MAX_ADDRESS_COUNT = 8_192

SendLarge = Callable[[data.Address, data.Message], None]


class DatagramTransport(runtime.Adapter):
    """Carries out :class:`effects.Send`.

    :param identity: the sender on every message; its address is bound.
    :param post: takes the received messages as events.
    :param send_large: sends what a datagram can't hold.
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
        self._reference = codec.compute_reference(identity)
        self._senders: dict[int, data.Identity] = {}
        self._introduced: dict[data.Address, int] = {}
        self._refused = 0
        self._next_log_s = 0.0

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the effect that is carried out here."""
        return {effects.Send: lambda effect: self.send(effect.to, effect.message)}

    async def start(self) -> None:
        """Bind the port."""
        host, _, port = self._identity.address.rpartition(":")
        self._port = reactor.listenUDP(
            int(port), _Receiver(self), interface=host, maxPacketSize=65_536
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
        """Send a message; a failure is like a loss on the way."""
        payload = self._encode(address, message)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self._send_large(address, message)
            return
        host, _, port = address.rpartition(":")
        try:
            self._write(payload, (host, int(port)))
        except (OSError, ValueError, error.MessageLengthError) as failure:
            self._refuse("datagram_unsent", address, str(failure))

    def receive(self, payload: bytes, source: tuple[str, int]) -> None:
        """Take in what came on the port."""
        try:
            sender, message = self._decode(payload, source)
        except codec.CodecError as failure:
            metrics.count("datagrams_refused", 1, {})
            self._refuse("datagram_refused", f"{source[0]}:{source[1]}", str(failure))
            return
        if sender is not None and message is not None:
            self._post(events.MessageReceived(sender, message))

    def _encode(self, address: data.Address, message: data.Message) -> bytes:
        sent = self._introduced.get(address, 0)
        if sent == 0 and len(self._introduced) >= MAX_ADDRESS_COUNT:
            self._introduced.clear()
        self._introduced[address] = sent + 1
        if sent >= INITIAL_FULL_ENVELOPE_COUNT and sent % FULL_ENVELOPE_INTERVAL_COUNT:
            return codec.encode_short(self._reference, message)
        return codec.encode(self._identity, message)

    def _decode(
        self, payload: bytes, source: tuple[str, int]
    ) -> tuple[data.Identity | None, data.Message | None]:
        if not codec.is_short(payload):
            sender, message, _ = codec.decode(payload)
            self._remember(sender)
            return sender, message
        reference, message = codec.decode_short(payload)
        if message is None:
            self._introduced.pop(data.Address(f"{source[0]}:{source[1]}"), None)
            return None, None
        sender = self._senders.get(reference)
        if sender is None:
            self._write(codec.encode_short(self._reference, None), source)
        return sender, message

    def _remember(self, sender: data.Identity) -> None:
        if len(self._senders) >= MAX_SENDER_COUNT:
            del self._senders[next(iter(self._senders))]
        self._senders[codec.compute_reference(sender)] = sender

    def _write(self, payload: bytes, target: tuple[str, int]) -> None:
        if self._port is not None:
            self._port.write(payload, target)

    def _refuse(self, event: str, peer: str, why: str) -> None:
        self._refused += 1
        if reactor.seconds() < self._next_log_s:
            return
        self._next_log_s = reactor.seconds() + LOG_INTERVAL_S
        logs.write(event, peer=peer, why=why, refused=self._refused)


class _Receiver(protocol.DatagramProtocol):
    def __init__(self, datagrams: DatagramTransport):
        self._datagrams = datagrams

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        self._datagrams.receive(datagram, addr)
