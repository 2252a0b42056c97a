"""The stand-in target process: ``python -m bench.target --help``."""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import contextlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import traceback  # noqa: E402
from functools import partial  # noqa: E402
from pathlib import Path  # noqa: E402

from godwitwheel.internal.loop import running_task, sleep  # noqa: E402
from godwitwheel.wire.client import Client  # noqa: E402
from godwitwheel.wire.server import Server  # noqa: E402
from godwitwheel.wire.target import Role  # noqa: E402

from .standin.announcer import announce_forever  # noqa: E402
from .standin.interface import TargetInterface, TargetProtocol  # noqa: E402
from .standin.replication import Replication  # noqa: E402
from .standin.settings import TargetSettings  # noqa: E402
from .standin.state import TargetState  # noqa: E402

POLL_S = 0.05


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="bench.target", description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--advertise", default="")
    parser.add_argument("--announce", default="", help="ADDR,ADDR of proxies")
    parser.add_argument("--role", type=Role, default=Role.replica)
    parser.add_argument("--follow", default="", help="address of the primary")
    parser.add_argument(
        "--folder",
        default="",
        help="data folder; without it, data is lost when the process ends",
    )
    parser.add_argument("--schema", default="", help="SQL file for a new primary")
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--connection-cap", type=int, default=15)
    parser.add_argument("--connect-ms", type=float, default=10.0)
    parser.add_argument("--statement-ms", type=float, default=0.0)
    parser.add_argument(
        "--leave-s", type=float, default=0.0, help="seconds from SIGTERM to the end"
    )
    return parser


def settings_from(options: argparse.Namespace, folder: Path) -> TargetSettings:
    """Returns the settings for parsed flags."""
    return TargetSettings(
        target_id=options.id,
        group=options.group,
        data_centre=options.data_centre,
        listen=options.listen,
        folder=folder,
        advertise=options.advertise,
        announce=[address for address in options.announce.split(",") if address],
        role=options.role,
        follow=options.follow,
        lag_s=options.lag_ms / 1000,
        slots=options.slots,
        connection_cap=options.connection_cap,
        connect_s=options.connect_ms / 1000,
        statement_s=options.statement_ms / 1000,
    )


def serve(settings: TargetSettings, schema: str, leave_s: float) -> None:
    """Serves until SIGTERM, then announces for ``leave_s`` seconds that it leaves."""
    stopping: list[int] = []
    signal.signal(signal.SIGTERM, lambda signum, frame: stopping.append(signum))
    state = TargetState(settings)
    state.create_schema(schema)
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(Client())
        replication = Replication(state, client)
        interface = TargetInterface(state, replication)
        server = Server(interface.routes(), traceback.print_exception, TargetProtocol)
        stack.enter_context(server.listening(settings.listen))
        if state.role is Role.replica and settings.follow and not state.term:
            replication.start(settings.follow)
        stack.callback(replication.stop)
        if settings.announce:
            announcing = partial(announce_forever, state, client)
            stack.enter_context(running_task(announcing, traceback.print_exception))
        print(f"listening on {server.address}", flush=True)
        while not stopping:
            sleep(POLL_S)
        interface.start_leaving()
        sleep(leave_s)


def main() -> int:
    """Runs the stand-in target."""
    options = build_parser().parse_args()
    with contextlib.ExitStack() as stack:
        folder = options.folder or stack.enter_context(tempfile.TemporaryDirectory())
        Path(folder).mkdir(parents=True, exist_ok=True)
        schema = Path(options.schema).read_text() if options.schema else ""
        serve(settings_from(options, Path(folder)), schema, options.leave_s)
    return 0


if __name__ == "__main__":
    sys.exit(main())
