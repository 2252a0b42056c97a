"""Lines of a stream, whichever way its bytes arrive."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.wire.streams import LineTooLong, Stream, StreamClosed

MAX_BYTES = 1 << 20
PIECE_BYTES = 64


class PiecewiseSocket:
    """A connected socket that receives given pieces, one a call, and then the end."""

    def __init__(self, pieces):
        self.pieces = iter(pieces)

    def setsockopt(self, level, option, value):
        pass

    def settimeout(self, timeout_s):
        pass

    def recv(self, max_bytes):
        return next(self.pieces, b"")


def stream_of(*pieces):
    return Stream(PiecewiseSocket(pieces))


def read_all(stream):
    lines = []
    try:
        while True:
            lines.append(stream.read_line(None, MAX_BYTES))
    except StreamClosed:
        return lines


@given(
    st.lists(st.binary().filter(lambda line: b"\r\n" not in line), max_size=5),
    st.integers(1, 6),
)
def test_only_cr_lf_ends_a_line_however_its_bytes_arrive(lines, piece_bytes):
    # A lone line feed ended one.
    data = b"".join(line + b"\r\n" for line in lines)
    pieces = [data[i : i + piece_bytes] for i in range(0, len(data), piece_bytes)]
    assert read_all(stream_of(*pieces)) == lines


def test_a_line_end_in_two_packets_ends_a_line():
    assert read_all(stream_of(b"a\r", b"\nb\r\n")) == [b"a", b"b"]


def test_a_line_may_end_with_cr_and_the_next_begin_with_lf():
    assert read_all(stream_of(b"a\r\r", b"\n\nb\r\n")) == [b"a\r", b"\nb"]


@pytest.mark.parametrize("data", [b"a", b"a\r", b"a\n", b"\n", b"\n\r"])
def test_an_incomplete_line_is_no_line(data):
    assert read_all(stream_of(data)) == []


@pytest.mark.parametrize("pieces", [[b"abcd\r\n"], [b"abcd\r", b"\n"]])
def test_the_line_end_does_not_count_towards_the_limit(pieces):
    assert stream_of(*pieces).read_line(None, 4) == b"abcd"
    with pytest.raises(LineTooLong):
        stream_of(*pieces).read_line(None, 3)


def test_a_line_that_does_not_end_is_refused_at_the_limit():
    with pytest.raises(LineTooLong):
        stream_of(b"abcd", b"ef").read_line(None, 4)


def cost_of_line(size):
    """Returns the least processor time, in seconds, to read a line in small pieces."""
    pieces = [b"x" * PIECE_BYTES] * (size // PIECE_BYTES) + [b"\r\n"]
    costs = []
    for _ in range(3):
        stream = stream_of(*pieces)
        began_at = time.process_time()
        assert len(stream.read_line(None, MAX_BYTES)) == size
        costs.append(time.process_time() - began_at)
    return min(costs)


def test_the_cost_of_a_line_does_not_grow_with_the_square_of_its_length():
    # Every piece was appended to a copy of all before it, and all were searched again.
    assert cost_of_line(MAX_BYTES) < 8 * cost_of_line(MAX_BYTES // 4)
