"""Encodes and decodes typed messages as JSON."""

from typing import TypeVar

import msgspec

from .errors import BadMessage

Message = TypeVar("Message")

_encoder = msgspec.json.Encoder()
_decoders: dict[type, msgspec.json.Decoder] = {}


def encode(message: object) -> bytes:
    """Encodes a message as JSON."""
    return _encoder.encode(message)


def decode(body: bytes, kind: type[Message]) -> Message:
    """Decodes and checks a message.

    :raises BadMessage: if the body is not a valid ``kind``; the message of the
        error names the field.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadMessage(f"{kind.__name__}: {error}") from error
