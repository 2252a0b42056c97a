"""The commands that run a process until a signal stops it."""

import functools
import inspect

from ..control.settings import ControlSettings
from ..proxy.settings import ProxySettings
from .command import Command
from .options import Option
from .values import (
    number_between,
    parse_address,
    parse_addresses,
    parse_boolean,
    parse_members,
    parse_name,
    parse_path,
)

LOG_FILE = Option(
    "log_file", "file to append events to, else standard error", parse_path, "", "PATH"
)
DATA_CENTRE = Option("data_centre", "data centre of this VM", parse_name, unit="NAME")
LISTEN = Option("listen", "address to serve on", parse_address, unit="IP:PORT")
ADVERTISE = Option(
    "advertise", "address for others, else --listen", parse_address, "", "IP:PORT"
)
CONTROL = Option(
    "control", "control members", parse_addresses, unit="IP:PORT,IP:PORT,..."
)


def _default_of(settings: type, name: str) -> object:
    """Returns the default of an argument of a settings class."""
    return inspect.signature(settings).parameters[name].default


def _seconds(settings: type, name: str, help: str, lowest: float, highest: float):
    parse = number_between(lowest, highest)
    text = f"{help}, {lowest} to {highest} seconds"
    return Option(name, text, parse, _default_of(settings, name), "SECONDS")


_proxy_seconds = functools.partial(_seconds, ProxySettings)
_control_seconds = functools.partial(_seconds, ControlSettings)


class ProxyCommand(Command):
    """Serves callers; stores no durable data. Stops on SIGTERM."""

    name = "proxy"
    help = "serve callers and route their requests to targets"
    options = [
        Option(
            "proxy_id", "identity of this proxy", parse_name, unit="ID", flag="--id"
        ),
        DATA_CENTRE,
        LISTEN,
        ADVERTISE,
        CONTROL,
        _proxy_seconds("heartbeat_interval_s", "time between lease renewals", 0.02, 5),
        _proxy_seconds("probe_interval_s", "time between probes of a target", 0.02, 5),
        _proxy_seconds(
            "drain_limit_s", "longest wait for requests on shutdown", 0, 3600
        ),
        LOG_FILE,
    ]

    def run(self, values: dict[str, object], paths: list[str]) -> int:
        from ..proxy.process import run_proxy

        return run_proxy(ProxySettings(**values))


class ControlCommand(Command):
    """Stores the replicated log in --data-folder. Stops on SIGTERM."""

    name = "control"
    help = "run one member of the control cell"
    options = [
        Option(
            "member_id", "identity of this member", parse_name, unit="ID", flag="--id"
        ),
        DATA_CENTRE,
        LISTEN,
        ADVERTISE,
        Option(
            "data_folder", "folder of the log and snapshots", parse_path, unit="DIR"
        ),
        Option(
            "members",
            "initial members of the cell, used only to bootstrap it",
            parse_members,
            unit="ID=IP:PORT,...",
        ),
        Option("join", "join a running cell with an empty log", parse_boolean, False),
        _control_seconds(
            "election_timeout_s",
            "time without a leader's message before an election",
            0.05,
            60,
        ),
        _control_seconds(
            "append_interval_s", "time between a leader's messages", 0.01, 10
        ),
        _control_seconds("lease_s", "length of a proxy's lease", 0.05, 60),
        Option(
            "clock_drift",
            "largest relative difference between the rates of two clocks, 0 to 0.2",
            number_between(0, 0.2),
            _default_of(ControlSettings, "clock_drift"),
            "RATIO",
        ),
        _control_seconds(
            "detection_s",
            "time without an answer after which a primary is unreachable",
            0.05,
            60,
        ),
        _control_seconds(
            "in_sync_lag_s", "longest time that a replica may delay writes", 0.05, 60
        ),
        LOG_FILE,
    ]

    def check(self, values: dict[str, object]) -> list[str]:
        problems = []
        if values["election_timeout_s"] < 2 * values["append_interval_s"]:
            problems.append(
                f"--election-timeout-s: got {values['election_timeout_s']}, expected "
                f"at least twice --append-interval-s ({values['append_interval_s']})"
            )
        members = values["members"]
        if not values["join"] and values["member_id"] not in members:
            problems.append(
                f"--members: got {', '.join(members)}, expected {values['member_id']} "
                "among them, or --join"
            )
        return problems

    def run(self, values: dict[str, object], paths: list[str]) -> int:
        from ..control.process import run_control

        return run_control(ControlSettings(**values))
