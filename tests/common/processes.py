"""Starts and ends the processes of a test, and waits on conditions."""

import os
import socket
import time
from collections.abc import Callable
from pathlib import Path

WAIT_LIMIT_S = 30.0
POLL_S = 0.02


def free_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition: Callable[[], object], what: str) -> object:
    """Waits until ``condition`` returns something true, and returns that.

    :raises AssertionError: if it stays false for ``WAIT_LIMIT_S`` seconds.
    """
    limit = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < limit:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError(f"still waiting after {WAIT_LIMIT_S} s: {what}")


def process_environment() -> dict[str, str]:
    """Returns the environment in which a child imports this checkout."""
    root = Path(__file__).resolve().parent.parent.parent
    paths = [str(root / "src"), str(root), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}
