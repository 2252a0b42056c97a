"""Session tokens: the caller's last writes, sent with its requests to any proxy."""

import base64
import binascii
import enum
import hashlib
import hmac

import msgspec

from ..internal.sentinel import Refusal
from ..wire.codec import decode, encode
from ..wire.control import GroupView
from ..wire.errors import BadMessage

TOKEN_VERSION = "1"
SIGNATURE_BYTES = 16
MAX_TOKEN_CHARACTERS = 8192


class TokenProblem(enum.Enum):
    """Why a token can't be used."""

    malformed = "malformed"
    forged = "forged"


class LogPosition:
    """A position in a group's log, within the history of one term."""

    __slots__ = ("term", "position")

    def __init__(self, term: int, position: int):
        self.term = term
        self.position = position

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, LogPosition):
            return NotImplemented
        return (self.term, self.position) == (other.term, other.position)

    def __hash__(self) -> int:
        return hash((self.term, self.position))

    def __repr__(self) -> str:
        return f"LogPosition({self.term}, {self.position})"


class Session:
    """The last writes of a caller, as far as they are known.

    :ivar points: log position of the last acknowledged write, by group.
    :ivar is_complete: ``False`` if the caller may have written to other groups
        before its first token.
    """

    __slots__ = ("points", "is_complete")

    def __init__(self, points: dict[str, LogPosition], is_complete: bool):
        self.points = points
        self.is_complete = is_complete

    def knows_last_write(self, group: str) -> bool:
        """Whether the caller's last write to a group is known.

        A later write to the same group covers those before it.
        """
        return self.is_complete or group in self.points


class _TokenBody(msgspec.Struct, array_like=True):
    points: dict[str, tuple[int, int]]
    is_complete: bool


def encode_token(session: Session, token_key: str) -> str:
    """Encodes and signs a session.

    :param token_key: the view's key, in hexadecimal.
    """
    points = {name: (at.term, at.position) for name, at in session.points.items()}
    body = encode(_TokenBody(points, session.is_complete))
    return ".".join(
        (TOKEN_VERSION, _to_base64url(body), _to_base64url(_sign(body, token_key)))
    )


def decode_token(token: str, token_key: str) -> Session | Refusal:
    """Checks and decodes a token.

    :returns: the session, or a :class:`Refusal` with a :class:`TokenProblem`.
    """
    parts = token.split(".")
    if len(token) > MAX_TOKEN_CHARACTERS or len(parts) != 3:
        return Refusal(TokenProblem.malformed, "expected three parts")
    if parts[0] != TOKEN_VERSION:
        return Refusal(TokenProblem.malformed, f"version {parts[0][:8]!r}")
    try:
        body = _from_base64url(parts[1])
        signature = _from_base64url(parts[2])
    except (binascii.Error, ValueError):
        return Refusal(TokenProblem.malformed, "not base64url")
    if not hmac.compare_digest(signature, _sign(body, token_key)):
        return Refusal(TokenProblem.forged, "the signature does not match")
    try:
        token_body = decode(body, _TokenBody)
    except BadMessage as error:
        return Refusal(TokenProblem.malformed, str(error))
    points = {
        name: LogPosition(*log_position)
        for name, log_position in token_body.points.items()
    }
    return Session(points, token_body.is_complete)


def covers(seen: LogPosition, floor: LogPosition, view: GroupView) -> bool:
    """Whether a log up to ``seen`` contains the acknowledged write at ``floor``.

    A later term's history begins with every acknowledged write of the terms before
    it, so any position at or after the start of that term is enough.
    """
    if seen.term < floor.term:
        return False
    if seen.position >= floor.position:
        return True
    if seen.term == floor.term:
        return False
    next_start = start_of_term_after(floor.term, view)
    return next_start is not None and seen.position >= next_start


def start_of_term_after(term: int, view: GroupView) -> int | None:
    """Returns where the first term after ``term`` began; ``None`` if unknown."""
    if view.term <= term:
        return None
    later = [known for known in view.previous if known > term]
    if not later:
        return view.term_start
    return view.previous[min(later)]


def record_write(session: Session, group: str, written: LogPosition) -> Session:
    """Returns the session with an acknowledged write added."""
    before = session.points.get(group)
    if before is not None and not _is_later(written, before):
        return session
    return Session({**session.points, group: written}, session.is_complete)


def merge_sessions(session: Session, other: Session) -> Session:
    """Returns a session that covers both."""
    for group, log_position in other.points.items():
        session = record_write(session, group, log_position)
    return session


def _is_later(log_position: LogPosition, other: LogPosition) -> bool:
    return (log_position.term, log_position.position) > (other.term, other.position)


def _sign(body: bytes, token_key: str) -> bytes:
    key = bytes.fromhex(token_key)
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def _to_base64url(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def _from_base64url(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text.encode("ascii") + padding.encode(), b"-_", True)
