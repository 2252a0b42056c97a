"""Processor time of each decoder by the size of what it reads.

One message must not occupy a process, however odd it is: the time of a decoder grows in
proportion to the size of a message up to the largest one.
"""

import contextlib
from collections.abc import Callable

from fleet.control_api import Departure, Heartbeat
from fleet.lines import decode_line, format_error, parse_statement
from fleet.settings import InvalidSettingsFile, decode_settings
from fleet.tables import FleetTableCodec
from godwitwheel.consensus.http_transport import Packet
from godwitwheel.control.commands import Batch
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import PutTable
from godwitwheel.directory.documents import pack_document
from godwitwheel.directory.errors import InvalidTable
from godwitwheel.directory.records import ProxyReply, ProxyReport, RoutingTable
from godwitwheel.directory.routes import Announcement, Removal
from godwitwheel.directory.table_changes import table_change
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.sessions.owning.owner_messages import RunReply, RunRequest
from godwitwheel.sessions.statements import ErrorCode, error_answer
from godwitwheel.wire.codec import check_nesting, decode, encode
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.http1 import HEAD_END, ResponseReader, parse_request_head
from godwitwheel.wire.server import MAX_HEAD_BYTES, HttpProtocol, RouteTable

from .fit import processor_us
from .odd_bodies import configurations, invalid_bodies

# Bodies that the platform's operator and targets may send at most.
MAX_BODY_BYTES = 256 * 1024
SIZES = [size * 1024 for size in (16, 32, 64, 128, 256)]
# Bytes that end a target or a header, or that the parser refuses at once.
UNUSABLE_IN_HEADS = bytes([*range(33), 127])

Decoder = Callable[[bytes], object]


def decode_configuration(body: bytes) -> RoutingTable:
    """Checks and decodes a configuration as control does when it receives one."""
    check_nesting(body)
    return FleetTableCodec().decode(body)


def apply_configuration(body: bytes) -> None:
    """Does all that control does with a configuration, from its body to a change.

    A body that is refused costs only the check.
    """
    table = decode_configuration(body)
    state = ControlState(table_codec=FleetTableCodec())
    state.directory.put_table(1, PutTable(pack_document(body)))
    encode(table_change(RoutingTable(), table))


def read_head(body: bytes) -> None:
    """Reads a request head with a body's bytes in its target and a header."""
    text = body[:MAX_HEAD_BYTES].translate(None, UNUSABLE_IN_HEADS)
    data = b"GET /" + text + b" HTTP/1.1\r\nhost: a\r\nx: " + text + HEAD_END
    head = parse_request_head(data)
    path = HttpProtocol(None, None).environ_of(head, b"")["PATH_INFO"]
    RouteTable({("POST", "/a/{}/b"): read_head}).find("POST", path)


def read_repeated_headers(body: bytes) -> None:
    """Reads a request head with as many headers of one name as fit into a body."""
    lines = b"a:b\r\n" * (min(len(body), MAX_HEAD_BYTES) // 5)
    parse_request_head(b"GET / HTTP/1.1\r\n" + lines + b"\r\n")


def read_response(body: bytes) -> None:
    """Reads a response with a body's bytes."""
    reader = ResponseReader()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    reader._feed(head + body)
    bytes(reader.body)


def read_line_message(body: bytes) -> None:
    """Reads a caller's statement from a body's bytes, and answers that it is wrong."""
    line = decode_line(body)
    for word in ("WRITE k ", "SET n ", "PREPARE n READ ", "EXECUTE n "):
        parse_statement("id", word + line)
    format_error(error_answer(ErrorCode.malformed, line))


def message_decoder(kind: type) -> Decoder:
    """Returns a decoder of a typed message."""
    return lambda body: decode(body, kind)


MESSAGES = (
    Heartbeat,
    Departure,
    Announcement,
    Removal,
    ProxyReport,
    ProxyReply,
    RunRequest,
    RunReply,
    Packet,
    Batch,
)
DECODERS: dict[str, Decoder] = {
    "configuration": decode_configuration,
    "configuration in force": apply_configuration,
    "default table": JsonTableCodec().decode,
    "settings": decode_settings,
    "request head": read_head,
    "repeated headers": read_repeated_headers,
    "response": read_response,
    "line message": read_line_message,
    **{kind.__name__: message_decoder(kind) for kind in MESSAGES},
}


def bodies_of(size: int) -> dict[str, bytes]:
    """Returns all bodies of about a size, by what they consist of."""
    return invalid_bodies(size) | configurations(size)


def processor_s(decoder: Decoder, body: bytes) -> float:
    """Returns the processor time of reading or refusing a body, in seconds."""

    def read() -> None:
        with contextlib.suppress(
            WireError, InvalidTable, InvalidSettingsFile, UnicodeDecodeError
        ):
            decoder(body)

    return processor_us(read, 1) / 1e6


def slowest_bodies(size: int) -> dict[str, tuple[str, float]]:
    """Returns for each decoder the body that takes longest, and its time in seconds."""
    bodies = bodies_of(size)
    slowest = {}
    for name, decoder in DECODERS.items():
        times = {kind: processor_s(decoder, body) for kind, body in bodies.items()}
        kind = max(times, key=times.get)
        slowest[name] = (kind, times[kind])
    return slowest
