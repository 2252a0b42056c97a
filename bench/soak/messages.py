"""Answers of the soak's databases and callers as messages of the line protocol.

The messages are framed without the product's own functions, whose faults could not be
seen otherwise.
"""

from fleet.lines import (
    ERROR_CODES,
    ERROR_WORDS,
    STATE_WORDS,
    STATES,
    format_position,
    parse_position,
)
from godwitwheel.sessions.statements import Answer
from tests.common.framing import MessageReader, Reply, read_reply


def encode_answer(answer: Answer) -> bytes:
    """Returns the messages of a database's answer."""
    reply = Reply(
        [row.decode() for row in answer.rows],
        ERROR_WORDS[answer.error] if answer.error is not None else "",
        (answer.signature if answer.error is None else answer.detail) or "-",
        STATE_WORDS[answer.state],
        format_position(answer.position),
    )
    return reply.encode()


def read_answer(reader: MessageReader, timeout_s: float) -> Answer:
    """Reads a proxy's complete answer.

    :param timeout_s: limit for the whole answer.
    :raises WireError: if it does not arrive in time, or the session is closed.
    """
    reply = read_reply(reader, timeout_s)
    return Answer(
        [row.encode() for row in reply.rows],
        "" if reply.error or reply.detail == "-" else reply.detail,
        ERROR_CODES[reply.error] if reply.error else None,
        reply.detail if reply.error else "",
        STATES[reply.state],
        parse_position(reply.position),
    )
