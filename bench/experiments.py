"""``make bench``: measures, checks every answer, and writes docs/measurements/.

``python -m bench.experiments [--long] [NAME...]``; the exit status is 1 if any
answer was wrong.
"""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import matplotlib  # noqa: E402

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from .experiment.base import Experiment  # noqa: E402
from .experiment.chaos import Chaos  # noqa: E402
from .experiment.costs import Costs  # noqa: E402
from .experiment.failover import FailoverGap  # noqa: E402
from .experiment.lease_length import LeaseLength  # noqa: E402
from .experiment.overload import Overload  # noqa: E402
from .experiment.replica_share import ReplicaShare  # noqa: E402
from .measurements import FOLDER, Measurement, commit, machine, save  # noqa: E402

EXPERIMENTS = {
    kind.name: kind
    for kind in (FailoverGap, LeaseLength, ReplicaShare, Overload, Costs, Chaos)
}
LONG_ONLY = frozenset((LeaseLength.name, Chaos.name))
FIGURE_INCHES = (9, 5)


def measure(experiment: Experiment, folder: Path) -> Measurement:
    """Runs one experiment and writes its figures (JSON) and its plot."""
    flags = ["--long"] if experiment.is_long else []
    flags += experiment.options
    command = ["python", "-m", "bench.experiments", *flags, experiment.name]
    revision = commit()
    load_average = round(os.getloadavg()[0], 1)
    experiment.run()
    measurement = Measurement(
        name=experiment.name,
        command=" ".join(command),
        commit=revision,
        machine=machine(),
        load_average=load_average,
        faults=experiment.faults,
        rows=experiment.rows,
    )
    save(measurement, folder)
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES, layout="constrained")
    experiment.plot(axes)
    figure.savefig(folder / f"{experiment.name}.png", dpi=100)
    pyplot.close(figure)
    return measurement


def default_names(is_long: bool) -> list[str]:
    """Returns the experiments to run by default; the short form takes under 3 min."""
    return [name for name in EXPERIMENTS if is_long or name not in LONG_ONLY]


def print_rows(measurement: Measurement) -> None:
    """Prints the figures, one row per line."""
    for row in measurement.rows:
        parts = [f"{name}={_format_value(value)}" for name, value in row.items()]
        print("  " + " ".join(parts))
    for kind, findings in measurement.faults.items():
        print(f"  FAULT {kind}: {findings}")


def _format_value(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def main() -> int:
    """Runs the chosen experiments; logs are kept if one fails."""
    parser = argparse.ArgumentParser(prog="bench.experiments", description=__doc__)
    parser.add_argument("--long", action="store_true", help="more and longer runs")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random faults")
    parser.add_argument("--output", type=Path, default=FOLDER)
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(EXPERIMENTS))
    options = parser.parse_args()
    unknown = set(options.names) - set(EXPERIMENTS)
    if unknown:
        parser.error(f"unknown experiment: {', '.join(sorted(unknown))}")
    Chaos.seed = options.seed
    folder = Path(tempfile.mkdtemp(prefix="godwitwheel-bench-"))
    is_clean = True
    for name in options.names or default_names(options.long):
        began_at = time.monotonic()
        measurement = measure(EXPERIMENTS[name](options.long, folder), options.output)
        print(f"{name}, {time.monotonic() - began_at:.0f} s", flush=True)
        print_rows(measurement)
        is_clean = is_clean and not measurement.faults
    if is_clean:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(f"logs are kept in {folder}")
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
