"""Runs the users' bench on a checkout of the project."""

import subprocess
import tempfile
from pathlib import Path

from .reports import DayReport, read_report


class DayFailed(Exception):
    """Raised if the bench didn't write a report."""


class DayRun:
    """A day to be played.

    :ivar site: the site file.
    :ivar day: name of a standard day, or the path of a day file.
    :ivar seed: seed of the day, or ``None`` for the day as it is written.
    """

    __slots__ = ("site", "day", "seed")

    def __init__(self, site: Path, day: str, seed: int | None = None):
        self.site = site
        self.day = day
        self.seed = seed

    def arguments(self) -> list[str]:
        """Returns the arguments of the bench's ``run``; a seed also varies the day."""
        arguments = [str(self.site), self.day]
        if self.seed is not None:
            arguments += ["--seed", str(self.seed), "--vary"]
        return arguments


class DayPlayer:
    """Plays days on one checkout of the project.

    :ivar fleetbench: the users' bench.
    :ivar tree: root of the checkout.
    :ivar why: note for the journal that the bench keeps in the checkout.
    """

    __slots__ = ("fleetbench", "tree", "why")

    def __init__(self, fleetbench: Path, tree: Path, why: str):
        self.fleetbench = fleetbench
        self.tree = tree
        self.why = why

    def build(self) -> None:
        """Builds the checkout, which the runs then share."""
        subprocess.run([self.fleetbench, "build"], cwd=self.tree, check=True)

    def play(self, run: DayRun, log: Path | None = None) -> DayReport:
        """Plays one day.

        :param log: file for the output of all processes; none is kept without it.
        :raises DayFailed: if the bench wrote no report.
        """
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = [str(self.fleetbench), "run", *run.arguments()]
            command += ["--report", str(report), "--why", self.why]
            if log is not None:
                command += ["--log", "all"]
            ended = subprocess.run(
                command, cwd=self.tree, capture_output=True, text=True
            )
            if log is not None:
                log.write_text(ended.stderr + ended.stdout)
            if not report.exists():
                raise DayFailed(f"{' '.join(command)}: {ended.stderr[-500:]}")
            return read_report(report)
