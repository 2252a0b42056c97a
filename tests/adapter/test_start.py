"""Processes start quickly: no caller is served before they do after a power loss."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from godwitwheel.observe.build import PACKAGE_FOLDER, digest_of_sources

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


def run_role(arguments, **environment):
    """Runs the entry script to its end."""
    return subprocess.run(
        [sys.executable, str(ROOT / "platform" / "run.py"), *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, **environment},
    )


@pytest.fixture
def unloadable_library(tmp_path):
    """A folder with a library whose compiled part is of another kind of machine."""
    package = tmp_path / "msgspec"
    package.mkdir()
    (package / "__init__.py").write_text("from . import _core\n")
    (package / "_core.cpython-27-other-machine.so").write_bytes(b"\x7fELF")
    return tmp_path


@pytest.mark.parametrize("role", ["front", "core", "owner"])
def test_a_process_says_in_one_line_which_library_it_cannot_import(
    role, unloadable_library
):
    # It ended with a traceback, and the build step had reported success.
    ended = run_role([role], PYTHONPATH=str(unloadable_library))
    assert (ended.returncode, ended.stderr) == (1, "")
    (line,) = ended.stdout.splitlines()
    event = json.loads(line)
    assert (event["message_type"], event["role"]) == ("process_failed", role)
    for part in ("msgspec", "_core", sys.executable, os.uname().machine):
        assert part in event["reason"]


def test_the_version_is_not_printed_if_a_library_cannot_be_imported(unloadable_library):
    ended = run_role(["--version"], PYTHONPATH=str(unloadable_library))
    assert (ended.returncode, ended.stdout) == (1, "")
    assert "msgspec" in ended.stderr
    assert len(ended.stderr.splitlines()) == 1


def test_the_version_covers_the_adapter():
    ended = run_role(["--version"])
    build = json.loads(ended.stdout)
    folders = [PACKAGE_FOLDER, ROOT / "platform"]
    assert build["sources"] == digest_of_sources(folders)
    assert "" not in build["libraries"].values()


def test_a_process_says_in_one_line_that_its_settings_cannot_be_read(tmp_path):
    ended = run_role(["front"], GODWITWHEEL_CONFIG=str(tmp_path / "none.json"))
    assert (ended.returncode, ended.stderr) == (1, "")
    (line,) = ended.stdout.splitlines()
    assert "No such file" in json.loads(line)["reason"]


@pytest.mark.parametrize("environment", [{}, {"GODWITWHEEL_CONFIG": ""}])
def test_a_process_says_in_one_line_that_no_settings_are_named(environment):
    # It ended with the traceback of a KeyError.
    ended = run_role(["core"], **environment)
    assert (ended.returncode, ended.stderr) == (1, "")
    (line,) = ended.stdout.splitlines()
    event = json.loads(line)
    assert (event["message_type"], event["role"]) == ("process_failed", "core")
    assert "GODWITWHEEL_CONFIG" in event["reason"]


def test_a_process_says_in_one_line_that_its_address_is_in_use(tmp_path):
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        port = holder.getsockname()[1]
        addresses = {"front": f"127.0.0.1:{port}", "ready": f"127.0.0.1:{port}"}
        settings = {
            "node_name": "front-1",
            "ip": "127.0.0.1",
            "zone": "north",
            "listen_addresses": addresses,
            "internal_port_range": [port, port],
        }
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        ended = run_role(["front"], GODWITWHEEL_CONFIG=str(path))
    assert (ended.returncode, ended.stderr) == (1, "")
    event = json.loads(ended.stdout.splitlines()[-1])
    assert event["message_type"] == "process_failed"
    assert str(port) in event["reason"]


def test_a_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        command = [sys.executable, str(ROOT / "platform" / "run.py"), "front"]
        # It waits here for the other process, long enough for the signal to come.
        starting = subprocess.Popen(
            [*command, "--start-after", address],
            env={**os.environ, "GODWITWHEEL_CONFIG": str(tmp_path / "none.json")},
            stdout=subprocess.DEVNULL,
        )
        time.sleep(1.0)
        starting.send_signal(signal.SIGHUP)
        assert starting.wait(30.0) == 1
