"""Checks whose error messages state the given value and what was expected."""

import ipaddress
import re

from .errors import InvalidValue

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_WORD = re.compile(r"[!-~]{1,128}")
_HIGHEST_PORT = 65535
_MAX_DIGITS = 18


def is_whole_number(text: str, highest: int) -> bool:
    """Whether ``text`` is a whole number from 0 to ``highest``, in ASCII digits."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return is_number and int(text) <= highest


def check_name(value: str, what: str) -> str:
    """Checks that ``value`` is a lower-case identifier.

    :raises InvalidValue: if it is not.
    """
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise InvalidValue(
            f"{what}: got {value!r}, expected 1 to 63 characters of a-z, 0-9, '.', "
            "'_' and '-', the first a letter or digit"
        )
    return value


def check_word(value: str, what: str) -> str:
    """Checks that ``value`` is one word of printable ASCII characters.

    :raises InvalidValue: if it is not.
    """
    if not _WORD.fullmatch(value):
        raise InvalidValue(
            f"{what}: got {value[:40]!r}, expected 1 to 128 printable ASCII characters "
            "without blanks"
        )
    return value


def check_between(value: float, lowest: float, highest: float, what: str) -> float:
    """Checks that ``lowest <= value <= highest``.

    :raises InvalidValue: if it is not.
    """
    if not lowest <= value <= highest:
        raise InvalidValue(
            f"{what}: got {value!r}, expected a number from {lowest} to {highest}"
        )
    return value


def check_address(value: str, what: str) -> str:
    """Checks that ``value`` has the form ``IP:PORT``, with a port of at least 1.

    :raises InvalidValue: if it does not.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        is_ip = False
    else:
        is_ip = True
    if not is_ip or not is_whole_number(port, _HIGHEST_PORT) or int(port) == 0:
        raise InvalidValue(
            f"{what}: got {value[:80]!r}, expected the host as an IPv4 address, and a "
            f"port from 1 to {_HIGHEST_PORT}"
        )
    return value


def split_address(value: str) -> tuple[str, int]:
    """Splits an ``IP:PORT`` that has been checked, or whose port is 0."""
    host, _, port = value.rpartition(":")
    return host, int(port)
