"""The command line starts nothing unless every setting is valid."""

import json

import pytest

from godwitwheel.cli import processes
from godwitwheel.cli.main import run_command
from godwitwheel.observe.build import running_build

CONTROL_FLAGS = ["--data-centre", "melilla", "--listen", "127.0.0.1:4"]
CONTROL_FLAGS += ["--data-folder", "x"]


@pytest.fixture
def started(monkeypatch):
    """Commands that would have run, with their settings."""
    calls = []

    def record(self, values, paths):
        calls.append(values)
        return 0

    for command in (processes.ProxyCommand, processes.ControlCommand):
        monkeypatch.setattr(command, "run", record)
    return calls


def test_flag_wins_over_variable_and_variable_over_default(started):
    environ = {"GODWITWHEEL_ID": "b", "GODWITWHEEL_LEASE_S": "0.9", "HOME": "x"}
    flags = ["--id", "a", "--members", "a=127.0.0.1:4", *CONTROL_FLAGS]
    assert run_command(["control", *flags], environ) == 0
    (values,) = started
    assert values["member_id"] == "a"
    assert values["lease_s"] == 0.9
    assert values["detection_s"] == 0.4


@pytest.mark.parametrize(
    "flags, environ, expected",
    [
        (["--lease-s", "x"], {}, ["--lease-s: got 'x', expected a number from 0.05"]),
        (["--lease-s", "nan"], {}, ["--lease-s: got 'nan'"]),
        (["--lease-s"], {}, ["--lease-s: got ''"]),
        (["--listen", "host:1"], {}, ["--listen: got 'host:1', expected the host as"]),
        (
            ["--members", "a=127.0.0.1:4,b=127.0.0.1:4"],
            {},
            ["each id and address once"],
        ),
        (["--members", "b=127.0.0.1:4"], {}, ["expected a among them, or --join"]),
        (["--join", "maybe"], {}, ["--join: got 'maybe', expected true or false"]),
        (["--leese-s", "1"], {}, ["--leese-s: no such flag"]),
        ([], {"GODWITWHEEL_LEESE_S": "1"}, ["GODWITWHEEL_LEESE_S: no such setting"]),
        (
            [],
            {"GODWITWHEEL_LEASE_S": "99"},
            ["GODWITWHEEL_LEASE_S: got 99.0, expected"],
        ),
        (["--id", "A", "--lease-s", "0"], {}, ["--id: got 'A'", "--lease-s: got 0.0"]),
        (["--append-interval-s", "0.4"], {}, ["expected at least twice"]),
    ],
)
def test_rejects_settings_and_names_each(flags, environ, expected, started, capsys):
    valid = ["--id", "a", "--members", "a=127.0.0.1:4", *CONTROL_FLAGS]
    assert run_command(["control", *valid, *flags], environ) == 2
    assert not started
    message = capsys.readouterr().err
    for part in expected:
        assert part in message


def test_lists_every_missing_setting(started, capsys):
    assert run_command(["proxy"], {}) == 2
    message = capsys.readouterr().err
    for flag in ("--id", "--data-centre", "--listen", "--control"):
        assert f"{flag} or GODWITWHEEL_" in message


def test_says_which_code_libraries_python_and_machine_would_run(capsys):
    # Only the version of the package was known, which is the same for all commits.
    with pytest.raises(SystemExit) as ended:
        run_command(["--version"], {})
    assert ended.value.code == 0
    expected = running_build()
    assert json.loads(capsys.readouterr().out) == expected.fields()
