"""Encodes messages between the system's own processes as versioned msgpack envelopes.

An envelope contains the sender's identity, so that a receiver can distinguish a
restarted process from its predecessor at the same address.
"""

import functools

import msgspec
import xxhash

from toucanspread.core import data, decoder, sessions

WIRE_VERSION = 1
_SHORT_ENVELOPE_PREFIX = b"\x93"  # a msgpack array of three items
_NIL_BYTES = b"\xc0"
MAX_ENVELOPE_BYTES = 4 * 1024 * 1024


class CodecError(Exception):
    """Bytes from another process are not a message that this version can decode."""


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender.

    :param version: version of the wire format.
    :param body: bytes that are sent beside the message, such as a request's body.
    """

    version: int
    sender: data.Identity
    message: msgspec.Raw
    body: bytes = b""


class ShortEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """A message that names its sender by a reference.

    :param reference: see :func:`compute_reference`.
    :param message: nil when the sender requests a full envelope.
    """

    version: int
    reference: int
    message: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = decoder.MsgpackDecoder(Envelope)
_short_decoder = decoder.MsgpackDecoder(ShortEnvelope)


@functools.cache
def _message_decoder() -> decoder.MsgpackDecoder:
    return decoder.MsgpackDecoder(sessions.union_of(data.Message))


def encode(sender: data.Identity, message: data.Message, body: bytes = b"") -> bytes:
    """Return the bytes of an envelope that contains ``message``."""
    raw = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(Envelope(WIRE_VERSION, sender, raw, body))


def decode(payload: bytes) -> tuple[data.Identity, data.Message, bytes]:
    """Return the sender, the message and the body of an envelope.

    :raises CodecError: when the bytes are no envelope, are too large, have another
        version or contain an unknown message.
    """
    if len(payload) > MAX_ENVELOPE_BYTES:
        raise CodecError(
            f"envelope of {len(payload)} bytes, at most allowed: {MAX_ENVELOPE_BYTES}"
        )
    try:
        envelope = _envelope_decoder.decode(payload)
        if envelope.version != WIRE_VERSION:
            raise CodecError(f"wire version {envelope.version}, not {WIRE_VERSION}")
        message = _message_decoder().decode(envelope.message)
    except decoder.MalformedError as error:
        raise CodecError(f"malformed message: {error}") from error
    return envelope.sender, message, envelope.body


def compute_reference(sender: data.Identity) -> int:
    """Return a number that identifies one incarnation of a process."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(sender))


def encode_short(reference: int, message: data.Message | None) -> bytes:
    """Return the bytes of a short envelope; no message requests a full envelope."""
    raw = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(ShortEnvelope(WIRE_VERSION, reference, raw))


def is_short(payload: bytes) -> bool:
    """Return whether the payload can only be a short envelope."""
    return payload[:1] == _SHORT_ENVELOPE_PREFIX


def decode_short(payload: bytes) -> tuple[int, data.Message | None]:
    """Return the reference and the message of a short envelope.

    :raises CodecError: as :func:`decode` does.
    """
    try:
        envelope = _short_decoder.decode(payload)
        if envelope.version != WIRE_VERSION:
            raise CodecError(f"wire version {envelope.version}, not {WIRE_VERSION}")
        if bytes(envelope.message) == _NIL_BYTES:
            return envelope.reference, None
        message = _message_decoder().decode(envelope.message)
    except decoder.MalformedError as error:
        raise CodecError(f"malformed message: {error}") from error
    return envelope.reference, message
