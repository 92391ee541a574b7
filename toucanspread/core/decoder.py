"""Decodes bytes that other writers and processes wrote.

The decoders of the libraries fail in several ways, among them RecursionError on deeply
nested values. Here each of them becomes a :class:`MalformedError`, so no other module
calls those decoders.
"""

import functools
import json
from typing import Any

import msgspec
import yaml

_FAILURES = (ValueError, TypeError, OverflowError, RecursionError, yaml.YAMLError)


class MalformedError(ValueError):
    """Bytes of another writer are no value of the type that was expected."""


class JsonDecoder:
    """Decodes JSON into one type."""

    def __init__(self, kind: Any):
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, payload: bytes | str) -> Any:
        """Return the decoded value.

        :raises MalformedError: when the payload is no such value.
        """
        try:
            return self._decoder.decode(payload)
        except _FAILURES as error:
            raise MalformedError(str(error)) from error


class MsgpackDecoder:
    """Decodes msgpack into one type."""

    def __init__(self, kind: Any):
        self._decoder = msgspec.msgpack.Decoder(kind)

    def decode(self, payload: bytes) -> Any:
        """Return the decoded value.

        :raises MalformedError: when the payload is no such value.
        """
        try:
            return self._decoder.decode(payload)
        except _FAILURES as error:
            raise MalformedError(str(error)) from error


def decode_json(payload: bytes | str, kind: Any) -> Any:
    """Return a value of a type from JSON.

    :raises MalformedError: when the payload is no such value.
    """
    return _make_json_decoder(kind).decode(payload)


def decode_msgpack(payload: bytes, kind: Any) -> Any:
    """Return a value of a type from msgpack.

    :raises MalformedError: when the payload is no such value.
    """
    return _make_msgpack_decoder(kind).decode(payload)


def parse_json(payload: bytes | str) -> Any:
    """Return the objects, lists, texts and numbers of a JSON payload.

    :raises MalformedError: when it is malformed.
    """
    try:
        return json.loads(payload)
    except _FAILURES as error:
        raise MalformedError(str(error)) from error


def parse_yaml(text: bytes | str, loader: type = yaml.SafeLoader) -> Any:
    """Return the mappings, lists and scalars of a YAML text.

    :param loader: a subclass of the safe loader.
    :raises MalformedError: when it is malformed.
    """
    try:
        return yaml.load(text, Loader=loader)  # noqa: S506  # a SafeLoader
    except _FAILURES as error:
        raise MalformedError(str(error)) from error


def convert(value: Any, kind: Any) -> Any:
    """Return a value of a type from parsed objects, lists, texts and numbers.

    :raises MalformedError: when it is no such value.
    """
    try:
        return msgspec.convert(value, kind)
    except _FAILURES as error:
        raise MalformedError(str(error)) from error


@functools.cache
def _make_json_decoder(kind: Any) -> JsonDecoder:
    return JsonDecoder(kind)


@functools.cache
def _make_msgpack_decoder(kind: Any) -> MsgpackDecoder:
    return MsgpackDecoder(kind)
