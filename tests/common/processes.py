"""Free ports, the environment of child processes, and waiting for conditions."""

import os
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path

WAIT_LIMIT_S = 30.0
POLL_S = 0.02
# Below the kernel's ephemeral port range, so that no outgoing connection takes a port
# before the test binds it.
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000

_random = random.SystemRandom()
_returned_ports: set[int] = set()


def free_port() -> int:
    """Returns a currently free port that it has not returned before."""
    while True:
        port = _random.randint(LOWEST_PORT, HIGHEST_PORT)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_address() -> str:
    """Returns ``127.0.0.1`` with a free port."""
    return f"127.0.0.1:{free_port()}"


def wait_until(
    condition: Callable[[], object], what: str, limit_s: float = WAIT_LIMIT_S
) -> object:
    """Waits until ``condition`` returns something true, and returns that.

    :raises AssertionError: if it stays false for ``limit_s`` seconds.
    """
    limit = time.monotonic() + limit_s
    while time.monotonic() < limit:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError(f"still waiting after {limit_s} s: {what}")


def process_environment() -> dict[str, str]:
    """Returns the environment in which a child imports this checkout."""
    root = Path(__file__).resolve().parent.parent.parent
    paths = [str(root / "src"), str(root), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}
