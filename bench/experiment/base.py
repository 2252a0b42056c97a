"""Base class of the experiments."""

from abc import ABC, abstractmethod
from pathlib import Path

from matplotlib.axes import Axes

from .. import load_run
from ..deployment import Deployment
from ..ledger_check import CheckResult
from ..records import RequestRecord

Row = dict[str, float | int | str | None]
FINDINGS_KEPT = 5


class Experiment(ABC):
    """One measurement on a deployment of its own.

    :ivar is_long: whether to run more and longer (``--long``).
    :ivar options: other command-line options needed to repeat the run.
    :ivar rows: the figures so far.
    :ivar faults: findings of wrong answers by kind; any makes the run fail.
    """

    name: str

    def __init__(self, is_long: bool, folder: Path):
        self.is_long = is_long
        self.options: list[str] = []
        self.folder = folder
        self.rows: list[Row] = []
        self.faults: dict[str, list[str]] = {}

    @abstractmethod
    def run(self) -> None:
        """Runs the measurement and fills ``rows`` and ``faults``."""

    @abstractmethod
    def plot(self, axes: Axes) -> None:
        """Plots the rows."""

    def add_fault(self, kind: str, *findings: str) -> None:
        """Records wrong answers, at most ``FINDINGS_KEPT`` of each kind."""
        kept = self.faults.setdefault(kind, [])
        kept += findings[: FINDINGS_KEPT - len(kept)]

    def check_answers(
        self, deployment: Deployment, records: list[RequestRecord]
    ) -> CheckResult:
        """Checks every answer against the final rows and records the faults."""
        result = load_run.check_records(deployment, records)
        for kind, findings in result.faults().items():
            self.add_fault(kind, *findings)
        return result

    def check_caps(self, deployment: Deployment) -> int:
        """Checks that no target refused a connection over its connection cap.

        :returns: the most connections that any target had open.
        """
        most = 0
        for member in deployment.of_kind("target"):
            target_id = member.process.process_id
            counters = deployment.counters(target_id)
            most = max(most, counters.most_connections)
            if counters.refused_over_cap:
                text = f"{target_id} refused {counters.refused_over_cap}"
                self.add_fault("connections over the cap", text)
        return most
