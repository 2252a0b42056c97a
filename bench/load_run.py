"""Sends traffic to a deployment and checks it against the groups' final rows."""

from pathlib import Path

from godwitwheel.wire.client import Client

from .deployment import Deployment
from .ledger_check import CheckResult, check
from .records import Ending, RequestKind, RequestRecord
from .traffic import Traffic
from .workload import Mix, agency_mix, ferreira_mix

LOG_TAIL_LINES = 5


def mix_of(deployment: Deployment) -> Mix:
    """Returns the workload of the deployment's user."""
    topology = deployment.topology
    build = agency_mix if topology.name == "agency" else ferreira_mix
    return build(topology.groups)


def traffic_for(deployment: Deployment, seed: int = 1, **options: float) -> Traffic:
    """Returns a load generator with the workload of the deployment's user."""
    proxies = deployment.proxy_addresses()
    return Traffic(proxies, mix_of(deployment), Client(), seed, **options)


def final_rows(deployment: Deployment) -> dict[str, list[tuple[int, str]]]:
    """Returns ``(id, key)`` of every entry at each group's primary."""
    rows = {}
    for group in deployment.topology.groups:
        primary = deployment.primary_of(group)
        found = deployment.query(primary, "SELECT id, key FROM entries")
        rows[group] = [(entry_id, key) for entry_id, key in found]
    return rows


def check_records(deployment: Deployment, records: list[RequestRecord]) -> CheckResult:
    """Checks the records against the final rows at the primaries."""
    return check(records, final_rows(deployment))


def failover_gap_s(
    records: list[RequestRecord], group: str, lost_primary: str, lost_at: float
) -> float | None:
    """Returns the time from losing a primary until a write was acknowledged again.

    :param lost_at: ``CLOCK_MONOTONIC`` of the loss, in seconds.
    :returns: seconds, or ``None`` if no write was acknowledged after it.
    """
    resumed = [
        record.answered_at
        for record in records
        if record.group == group
        and record.kind is RequestKind.write
        and record.ending is Ending.done
        and not record.replayed
        and record.answered_at > lost_at
        and record.served_by != lost_primary
    ]
    return min(resumed) - lost_at if resumed else None


def output_tails(folder: Path) -> str:
    """Returns the last lines of every process's output, to diagnose a failed run."""
    parts = []
    for path in sorted(folder.glob("*.out")):
        lines = path.read_text(errors="replace").split("\n")[-LOG_TAIL_LINES:]
        parts += [f"{path.name}: {line}" for line in lines]
    return "\n".join(parts)
