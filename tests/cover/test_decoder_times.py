"""One message never occupies a process, however odd it is."""

import pytest

from bench.slopes.decoder_slopes import (
    DECODERS,
    MAX_BODY_BYTES,
    bodies_of,
    decode_configuration,
    processor_s,
)
from bench.slopes.odd_bodies import configurations
from godwitwheel.directory.errors import InvalidTable
from godwitwheel.wire.codec import MAX_NESTING, check_nesting
from godwitwheel.wire.errors import BadMessage

# Shorter than the time that a leader has to answer a report.
MAX_DECODING_S = 0.25
SIZES = [MAX_BODY_BYTES // 16, MAX_BODY_BYTES // 4, MAX_BODY_BYTES]


@pytest.mark.parametrize("name", DECODERS)
def test_a_message_of_the_largest_size_is_read_soon(name):
    """A configuration of 167 KB that was cut short occupied control for 35 s.

    The time grew with the square of the size, so that smaller ones show it as well.
    """
    for size in SIZES:
        for kind, body in bodies_of(size).items():
            needed_s = processor_s(DECODERS[name], body)
            assert needed_s < MAX_DECODING_S, f"{kind}, {size} bytes"


@pytest.mark.parametrize("kind", configurations(0))
def test_the_configurations_that_are_timed_are_valid_until_they_are_cut(kind):
    body = configurations(MAX_BODY_BYTES // 16)[kind]
    if kind.endswith("cut"):
        with pytest.raises((BadMessage, InvalidTable)):
            decode_configuration(body)
    else:
        decode_configuration(body)


@pytest.mark.parametrize(
    "document",
    [
        b'{"a": "[[["}',
        b'{"a": "\\"[[["}',
        b'{"a": "\\\\"}',
        b'["\\\\\\"[", "{"]',
        b"[" * MAX_NESTING + b"]" * MAX_NESTING,
    ],
)
def test_brackets_in_strings_are_no_nesting(document):
    check_nesting(document)


@pytest.mark.parametrize(
    "document",
    [
        b"[" * (MAX_NESTING + 1) + b"]" * (MAX_NESTING + 1),
        b'["\\\\", "\\"", [[',
        b'[["]]',
        b'["]\\',
        b'{"a": "\\"}',
    ],
)
def test_deep_nesting_and_unmatched_brackets_are_refused(document):
    with pytest.raises(BadMessage):
        check_nesting(document)


@pytest.mark.parametrize("document", [b'"[[[', b'"\\"[[[', b'"\\', b'"', b'"\\\\'])
def test_a_string_that_is_not_closed_reaches_to_the_end(document):
    """The decoder refuses such a document afterwards."""
    check_nesting(document)
