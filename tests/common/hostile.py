"""Hypothesis strategies for malformed and hostile input to the interfaces."""

import copy
import io
import json

from hypothesis import strategies as st

DEPTHS = [100, 500, 900, 2_000]
DEEP = [b"[" * depth + b"]" * depth for depth in DEPTHS]
PLACEHOLDER = "to be replaced"
ODD_VALUES = [None, True, -1, 0, 2**31, 2**63, 10**30, 10**400, 0.5, -1e300, ""]
ODD_VALUES += [
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5_000,
    "x" * 300,
    "\x00",
    "é",
    "true",
    [],
    {},
    [[]],
    {"a": 1},
    [None],
]
HEADER_TEXT = st.text(st.characters(max_codepoint=255), max_size=40)


def _paths(value: object, path: tuple = ()) -> list[tuple]:
    """Returns the path of each value in a decoded message."""
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        if isinstance(inner, dict | list):
            found += _paths(inner, (*path, key))
        else:
            found.append((*path, key))
    return found


def _replaced(message: dict, path: tuple, value: object) -> dict:
    changed = copy.deepcopy(message)
    container = changed
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return changed


def bodies(message: bytes) -> st.SearchStrategy[bytes]:
    """Generates valid messages with one value replaced, truncated ones, and noise."""
    decoded = json.loads(message)
    mutated = st.builds(
        lambda path, value: json.dumps(_replaced(decoded, path, value)).encode(),
        st.sampled_from(_paths(decoded)),
        st.sampled_from(ODD_VALUES),
    )
    nested = st.builds(
        lambda path, deep: (
            json.dumps(_replaced(decoded, path, PLACEHOLDER))
            .encode()
            .replace(f'"{PLACEHOLDER}"'.encode(), deep)
        ),
        st.sampled_from(_paths(decoded)),
        st.sampled_from(DEEP),
    )
    truncated = st.integers(0, len(message) - 1).map(lambda end: message[:end])
    return mutated | nested | truncated | st.binary(max_size=30) | st.sampled_from(DEEP)


def environ(
    method: str, path: str, body: bytes, headers: dict[str, str] | None = None
) -> dict:
    """Returns the WSGI environment of a request."""
    names = {
        "HTTP_" + k.upper().replace("-", "_"): v for k, v in (headers or {}).items()
    }
    return {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        **names,
    }
