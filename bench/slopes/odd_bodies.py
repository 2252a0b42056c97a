"""Bodies of any size that a decoder may find hard to read, valid and invalid ones."""

import random

from godwitwheel.wire.codec import encode

SEED = 1


def repeated(piece: bytes, size: int) -> bytes:
    """Returns a piece again and again, cut at ``size`` bytes."""
    return (piece * (size // len(piece) + 1))[:size]


def invalid_bodies(size: int) -> dict[str, bytes]:
    """Returns bodies that are no messages, by what they consist of."""
    rng = random.Random(SEED)
    filled = {
        "quotes": b'"',
        "escaped quotes": b'\\"',
        "backslashes": b"\\",
        "open arrays": b"[",
        "closed arrays": b"]",
        "empty arrays": b"[]",
        "open objects": b'{"a":',
        "braces": b"{",
        "mixed brackets": b"[{}]",
        "digits": b"9",
        "commas": b",",
        "colons": b":",
        "blanks": b" ",
        "line ends": b"\r\n",
        "quoted JSON": b'{\\"name\\":\\"r1\\"},',
        "escapes": b"\\u0041",
        "half surrogates": b"\\ud800",
        "null bytes": b"\0",
        "no UTF-8": b"\xff\xc0",
        "percent signs": b"%41%",
    }
    bodies = {name: repeated(piece, size) for name, piece in filled.items()}
    bodies["random bytes"] = rng.randbytes(size)
    bodies["unclosed string"] = b'{"name":"' + repeated(b"a", size)
    bodies["unclosed string of quotes"] = b'{"name":"' + repeated(b'\\"', size)
    bodies["unclosed string of JSON"] = b'{"name":"' + repeated(b'{\\"a\\":[', size)
    bodies["long number"] = b'{"version":' + repeated(b"7", size) + b"}"
    bodies["long fraction"] = b'{"version":0.' + repeated(b"3", size) + b"}"
    bodies["long exponent"] = b'{"version":1e' + repeated(b"9", size) + b"}"
    bodies["nested arrays"] = b"[" * (size // 2) + b"]" * (size // 2)
    bodies["unknown fields"] = _object_of(size, lambda n: (f"f{n}", n))
    bodies["one long key"] = b'{"' + repeated(b"k", size) + b'":1}'
    return bodies


def _object_of(size: int, field_of) -> bytes:
    fields: dict[str, object] = {}
    length = 2
    while length < size:
        name, value = field_of(len(fields))
        fields[name] = value
        length += len(name) + len(encode(value)) + 4
    return encode(fields)


def _list_of(size: int, item_of) -> list:
    items: list = []
    length = 2
    while length < size:
        items.append(item_of(len(items)))
        length += len(encode(items[-1])) + 1
    return items


def configurations(size: int) -> dict[str, bytes]:
    """Returns valid configurations of the users' platform, by what they have most of.

    Some are cut at the end, so that they are invalid.
    """
    service = {"name": "s", "max_connections": 40}

    def route(number: int) -> dict:
        name = f"d{number}"
        return {
            "name": name,
            "database": name,
            "service": "s",
            "type": "primary",
            "timeout_ms": 800,
        }

    def account(number: int) -> dict:
        return {"name": f"t{number}", "api_keys": [f"k{number}"], "rate_per_s": 1}

    quoted = encode(_list_of(size // 2, route)).decode()
    documents = {
        "routes": {"routes": _list_of(size, route)},
        "services": {"services": _list_of(size, lambda n: {"name": f"s{n}"})},
        "accounts": {"tenants": _list_of(size, account)},
        "keys": {
            "tenants": [{"name": "t", "api_keys": _list_of(size, lambda n: f"key-{n}")}]
        },
        "a long name": {"routes": [{**route(1), "name": "x" * size}]},
        "a quoting name": {"routes": [{**route(1), "name": quoted}]},
    }
    empty = {"version": 1, "routes": [], "services": [service]}
    whole = {name: encode(empty | document) for name, document in documents.items()}
    cut = {f"{name}, cut": body[: -len(body) // 20] for name, body in whole.items()}
    return whole | cut
