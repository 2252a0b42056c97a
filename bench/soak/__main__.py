"""Runs the soak: ``python -m bench.soak --seeds 50``."""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

from .deployed import DeployFile  # noqa: E402
from .run import Soak, SoakOptions, Verdict  # noqa: E402


def main() -> int:
    """Runs the seeds one after the other; returns 1 if a promise was broken."""
    options = parse_options()
    # Exits through the context managers, which kill the started processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(os.EX_TEMPFAIL))
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
    if options.deployed:
        DeployFile().build()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.folder))
        verdict = run_seed(options, seed, folder)
        report(verdict, folder)
        failed += bool(verdict.violations)
        if not verdict.violations:
            shutil.rmtree(folder)
    print(f"{options.seeds - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


def run_seed(options: argparse.Namespace, seed: int, folder: Path) -> Verdict:
    """Runs one seed."""
    soak_options = SoakOptions(
        seed,
        options.seconds,
        options.fronts,
        options.cores,
        options.callers,
        options.deployed,
    )
    with Soak(soak_options, folder) as soak:
        return soak.run()


def report(verdict: Verdict, folder: Path) -> None:
    """Prints the result of a seed; if it failed, also its violations and faults."""
    print(
        f"seed {verdict.seed}: {len(verdict.violations)} violations, "
        f"{verdict.served} served, {verdict.commits} commits, "
        f"refused {verdict.refused}, {verdict.relay_errors()} errors of the relay",
        flush=True,
    )
    if not verdict.violations:
        return
    lines = [*verdict.violations, *verdict.faults]
    (folder / "verdict.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(f"  {line}" for line in lines))
    print(f"  logs: {folder}", flush=True)


def parse_options() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="bench.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the fault phase"
    )
    parser.add_argument("--fronts", type=int, default=4, help="session proxies")
    parser.add_argument("--cores", type=int, default=3, help="control members")
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument(
        "--deployed",
        action="store_true",
        help="builds and starts the programs as the deploy file says, so that faults "
        "of links, clocks and disks have no effect",
    )
    parser.add_argument(
        "--folder",
        type=Path,
        help="keeps logs of failed seeds; created if it does not exist",
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
