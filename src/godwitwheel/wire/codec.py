"""Encodes and decodes typed messages as JSON."""

import re
from typing import TypeVar

import msgspec

from .errors import BadMessage

Message = TypeVar("Message")

# Deepest nesting of a document that is decoded again wherever it is kept.
MAX_NESTING = 64
# A string ends with its quotation mark or with the document.
_STRINGS = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
_ALL_BUT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_AS_SQUARE = bytes.maketrans(b"{}", b"[]")

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


def check_nesting(document: bytes) -> None:
    """Checks that a JSON document is nested at most ``MAX_NESTING`` deep.

    The depth at which decoding fails depends on the depth of the stack, so that a
    document that one process has accepted could be unreadable to another.

    :raises BadMessage: if it is nested deeper, or its brackets don't match.
    """
    without_strings = _STRINGS.sub(b"", document)
    brackets = without_strings.translate(_AS_SQUARE, _ALL_BUT_BRACKETS)
    for _ in range(MAX_NESTING):
        brackets = brackets.replace(b"[]", b"")
    if brackets:
        raise BadMessage(f"expected at most {MAX_NESTING} levels of nesting")
