"""Encodes messages between the system's own processes, as versioned msgpack.

An envelope carries the sender's identity, so that a receiver can tell a restarted
process at the same address from the one before.
"""

import functools

import msgspec

from toucanspread.core import data, sessions

WIRE_VERSION = 1
MAX_ENVELOPE_BYTES = 4 * 1024 * 1024


class CodecError(Exception):
    """Bytes from another process are not a message that this version knows."""


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender.

    :param version: the version of the wire format.
    :param body: bytes that travel beside the message, such as a request's body.
    """

    version: int
    sender: data.Identity
    message: msgspec.Raw
    body: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


@functools.cache
def _message_decoder() -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(sessions.union_of(data.Message))


def encode(sender: data.Identity, message: data.Message, body: bytes = b"") -> bytes:
    """Return the bytes of an envelope around ``message``."""
    raw = msgspec.Raw(_encoder.encode(message))
    return _encoder.encode(Envelope(WIRE_VERSION, sender, raw, body))


def decode(payload: bytes) -> tuple[data.Identity, data.Message, bytes]:
    """Return the sender, the message and the body of an envelope.

    :raises CodecError: when the bytes are no envelope, too large, of another version
        or hold an unknown message.
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
    except msgspec.MsgspecError as error:
        raise CodecError(f"malformed message: {error}") from error
    return envelope.sender, message, envelope.body
