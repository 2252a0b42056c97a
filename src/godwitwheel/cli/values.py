"""Parsers of settings; an error states the given text and what was expected."""

import math
from collections.abc import Callable

from ..internal.errors import InvalidValue
from ..internal.validation import (
    check_address,
    check_between,
    check_name,
    is_whole_number,
)
from ..wire.numbers import MAX_NUMBER

Parser = Callable[[str, str], object]
_BOOLEANS = {"true": True, "false": False}


def parse_name(text: str, what: str) -> str:
    """Parses an identifier."""
    return check_name(text, what)


def parse_path(text: str, what: str) -> str:
    """Parses a path, which may not be empty."""
    if not text:
        raise InvalidValue(f"{what}: got '', expected a path")
    return text


def parse_boolean(text: str, what: str) -> bool:
    """Parses ``true`` or ``false``."""
    if text not in _BOOLEANS:
        raise InvalidValue(f"{what}: got {text!r}, expected true or false")
    return _BOOLEANS[text]


def parse_address(text: str, what: str) -> str:
    """Parses ``IP:PORT`` with a port of at least 1."""
    return check_address(text, what)


def parse_addresses(text: str, what: str) -> list[str]:
    """Parses distinct comma-separated addresses."""
    addresses = [parse_address(item.strip(), what) for item in text.split(",")]
    if len(set(addresses)) < len(addresses):
        raise InvalidValue(f"{what}: got {text!r}, expected each address once")
    return addresses


def parse_members(text: str, what: str) -> dict[str, str]:
    """Parses comma-separated ``id=IP:PORT`` pairs, ids and addresses distinct."""
    members = {}
    pairs = [item.strip().partition("=") for item in text.split(",")]
    for member_id, _, address in pairs:
        members[check_name(member_id, what)] = parse_address(address, what)
    if len(set(members.values())) < len(pairs):
        raise InvalidValue(f"{what}: got {text!r}, expected each id and address once")
    return members


def parse_names(text: str, what: str) -> list[str]:
    """Parses comma-separated identifiers."""
    return [check_name(item.strip(), what) for item in text.split(",")]


def number_between(lowest: float, highest: float) -> Parser:
    """Returns a parser of numbers in a closed range."""

    def parse_number(text: str, what: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if math.isnan(value):
            raise InvalidValue(
                f"{what}: got {text!r}, expected a number from {lowest} to {highest}"
            )
        return check_between(value, lowest, highest, what)

    return parse_number


def whole_number_from(lowest: int) -> Parser:
    """Returns a parser of whole numbers of at least ``lowest``."""

    def parse_whole_number(text: str, what: str) -> int:
        if not is_whole_number(text, MAX_NUMBER) or int(text) < lowest:
            raise InvalidValue(
                f"{what}: got {text!r}, expected a whole number from {lowest}"
            )
        return int(text)

    return parse_whole_number
