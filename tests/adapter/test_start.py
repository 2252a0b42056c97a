"""Processes start quickly: no caller is served before they do after a power loss."""

import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
IMPORT_ROLE = """
import sys
sys.path[:0] = ["src", "platform"]
import fleet.{role}
print("asyncio" in sys.modules)
"""


@pytest.fixture
def run_module(monkeypatch):
    """The entry script, which is no module of the packages under test."""
    monkeypatch.syspath_prepend(str(ROOT / "platform"))
    import run

    yield run
    sys.modules.pop("run")


@pytest.mark.parametrize("role", ["front", "core", "owner"])
def test_no_role_imports_asyncio(role):
    # It takes a fifth of the time of a start, and no process uses it.
    command = [sys.executable, "-c", IMPORT_ROLE.format(role=role)]
    ended = subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    )
    assert ended.stdout.strip() == "False"


def test_a_process_waits_until_the_other_one_listens(run_module):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        started_at = time.monotonic()
        timer = threading.Timer(0.2, listener.listen)
        timer.start()
        run_module.wait_until_listening(address)
        timer.join()
    assert 0.2 <= time.monotonic() - started_at < run_module.START_AFTER_LIMIT_S


def test_a_process_starts_although_the_other_one_never_listens(run_module, monkeypatch):
    # An owner serves callers although the disk of the member on its VM hangs.
    monkeypatch.setattr(run_module, "START_AFTER_LIMIT_S", 0.1)
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        run_module.wait_until_listening(address)
