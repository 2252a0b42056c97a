"""What every experiment has in common."""

from abc import ABC, abstractmethod
from pathlib import Path

from matplotlib.axes import Axes

from .. import load_run
from ..deployment import Deployment
from ..ledger_check import Verdict
from ..records import RequestRecord

Row = dict[str, float | int | str | None]
FINDINGS_KEPT = 5


class Experiment(ABC):
    """One measurement on a deployment of its own.

    :ivar is_long: whether to take the long form.
    :ivar options: further options of the command line that it was run with.
    :ivar rows: the figures so far.
    :ivar faults: wrong answers found so far; any makes the run fail.
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
        """Measures, and fills ``rows`` and ``faults``."""

    @abstractmethod
    def plot(self, axes: Axes) -> None:
        """Draws the rows."""

    def add_fault(self, kind: str, *findings: str) -> None:
        """Notes wrong answers; a few of each kind are kept."""
        known = self.faults.setdefault(kind, [])
        known += findings[: FINDINGS_KEPT - len(known)]

    def check_answers(
        self, deployment: Deployment, records: list[RequestRecord]
    ) -> Verdict:
        """Checks every answer against the final state."""
        verdict = load_run.judge(deployment, records)
        for kind, findings in verdict.faults().items():
            self.add_fault(kind, *findings)
        return verdict

    def check_caps(self, deployment: Deployment) -> int:
        """Checks that no target ever had to refuse a connection.

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
