"""The built executable runs every command in one process without children."""

import os
import socket
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

from tests.common.processes import WAIT_LIMIT_S, free_port, wait_until
from tools.build_binary import build

SERVICES = Path(__file__).parent.parent.parent / "examples"


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    """Starts the executable, built once, outside this checkout."""
    folder = tmp_path_factory.mktemp("binary")
    binary = folder / "godwitwheel"
    build(binary)
    # The base interpreter of the test environment has none of its packages.
    path = f"{sys.base_prefix}/bin{os.pathsep}{os.environ['PATH']}"
    environ = {"PATH": path, "SHIV_ROOT": str(folder / "unpacked"), "HOME": "/nowhere"}

    def start(*arguments):
        return subprocess.Popen(
            [str(binary), *arguments],
            cwd=folder,
            env=environ,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    return start


def children(pid):
    """Returns the ids of a process's children, of all its threads."""
    lists = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for path in lists for child in path.read_text().split()]


def test_shows_every_setting_of_a_command(run):
    output, errors = run("proxy", "--help").communicate(timeout=WAIT_LIMIT_S)
    assert "GODWITWHEEL_HEARTBEAT_INTERVAL_S" in output
    assert errors == ""


def test_publishes_without_a_child_process(run):
    with socket.create_server(("127.0.0.1", 0)) as unresponsive:
        unresponsive.settimeout(WAIT_LIMIT_S)
        address = f"127.0.0.1:{unresponsive.getsockname()[1]}"
        process = run(
            "publish", "--control", address, "--timeout-s", "1", str(SERVICES)
        )
        connection, _ = unresponsive.accept()
        with connection:
            assert connection.recv(100).startswith(b"GET /v1/in-force")
            assert children(process.pid) == []
            _, errors = process.communicate(timeout=WAIT_LIMIT_S)
    assert process.returncode == 1
    assert "no answer within 1.0 s" in errors


def test_control_proxy_and_publish_run_without_a_child_process(run, tmp_path):
    control_address = f"127.0.0.1:{free_port()}"
    proxy_address = f"127.0.0.1:{free_port()}"
    common = ("--data-centre", "melilla", "--log-file", str(tmp_path / "all.log"))
    control = run(
        *("control", "--id", "c1", "--listen", control_address, *common),
        *("--data-folder", str(tmp_path / "data")),
        *("--members", f"c1={control_address}"),
    )
    proxy = run(
        *("proxy", "--id", "p1", "--listen", proxy_address, *common),
        *("--control", control_address),
    )
    try:
        publish = run("publish", "--control", control_address, str(SERVICES))
        output, errors = publish.communicate(timeout=WAIT_LIMIT_S)
        assert (publish.returncode, errors) == (0, "")
        assert "accepted: revision 1" in output
        wait_until(lambda: is_ready(proxy_address), "the proxy is ready")
        for process in (proxy, control):
            assert children(process.pid) == []
            process.terminate()
            _, errors = process.communicate(timeout=WAIT_LIMIT_S)
            assert (process.returncode, errors) == (0, "")
    finally:
        for process in (proxy, control):
            process.kill()
            process.wait()
    timeline = run("timeline", str(tmp_path))
    output, _ = timeline.communicate(timeout=WAIT_LIMIT_S)
    assert "revision_published" in output
    assert "revision_in_force" in output


def is_ready(address):
    try:
        with urllib.request.urlopen(f"http://{address}/readyz", timeout=5) as reply:
            return reply.status == 200
    except OSError:
        return False
