"""A former primary that missed two promotions is promoted again while it still leads.

Exits with 1 if a write was committed at a former primary after another had taken over
and was acknowledged (rule ONE), 0 if none was, 2 if the case could not run.
"""

import asyncio
import os
import shutil
import signal
import tempfile
from pathlib import Path

from stand_ins import Client, Deployment, Record

HERE = Path(__file__).resolve().parent
THAW_SLACK_S = 0.3
CLIENTS_PER_FRONT = 2
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


async def cause_trouble(deployment, cut_until):
    """Cuts the primary off, and lets its successors go dark, each for 7 s."""
    first = deployment.group.leader()
    # Half of the six fronts are cut off; the limit is a share of 0.65.
    names = {"replicas", "core", "core-1/core", "core-2/core", "core-3/core"}
    first.cut(names | {f"front-{number}/front" for number in (1, 2, 3)})
    asyncio.create_task(
        later(7.0, lambda: (first.heal(), cut_until.append(now(deployment))))
    )
    for pause_s in (3.2, 3.2):
        await asyncio.sleep(pause_s)
        successor = deployment.group.leader()
        if successor is first or successor is None:
            deployment.record.add("no promotion to disturb")
            return
        successor.go_dark()
        asyncio.create_task(later(6.8, successor.come_back))
    await asyncio.sleep(5.0)


def now(deployment):
    return deployment.record.now()


async def later(seconds, action):
    await asyncio.sleep(seconds)
    action()


def violations(deployment, clients, cut_until):
    """Returns the acknowledged writes that a former primary committed."""
    found = []
    for write in [write for client in clients for write in client.writes]:
        commit = deployment.group.commits.get(write.request_id)
        if commit is None or not write.answer.startswith("COMPLETE"):
            continue
        if commit.newer_term_since is None:
            continue
        is_cut = write.front < 3 and (
            not cut_until or commit.at < cut_until[0] + THAW_SLACK_S
        )
        if not is_cut:
            found.append((write, commit))
    return found


async def run(folder, record, has_trouble):
    deployment = Deployment(folder, record, fenced=False)
    cut_until = []
    try:
        await deployment.start()
        if not await deployment.publish() or not await deployment.wait_until_ready():
            record.add("the system was not ready in time")
            return COULD_NOT_RUN
        clients = [
            Client(deployment, front)
            for front in range(6)
            for _ in range(CLIENTS_PER_FRONT)
        ]
        for client in clients:
            asyncio.create_task(client.run())
        await asyncio.sleep(6.0)
        served = sum(
            write.answer.startswith("COMPLETE")
            for client in clients
            for write in client.writes
        )
        if served < 50:
            record.add("only", served, "writes were served before the trouble")
            return COULD_NOT_RUN
        fronts = {f"front-{number}/front" for number in range(1, 7)}
        if not fronts <= deployment.group.peers:
            record.add("the fronts' connections could not be told apart")
            return COULD_NOT_RUN
        if has_trouble:
            await cause_trouble(deployment, cut_until)
        else:
            await asyncio.sleep(12.0)
        found = violations(deployment, clients, cut_until)
        for write, commit in found:
            record.add(
                "ONE",
                write.request_id,
                "by",
                f"front-{write.front + 1}:",
                f"committed at {commit.at:.4f} by {commit.backend.id} in term",
                f"{commit.term}, which ended at {commit.newer_term_since:.4f};",
                f"acknowledged at {write.answered_at:.4f}",
            )
        record.add("RESULT", len(found), "acknowledged writes at a former primary")
        return BROKEN if found else HELD
    finally:
        deployment.stop()


def end_by_signal(signal_number, frame):
    """Ends all child processes; the signal may come twice."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    for deployment in Deployment.started:
        deployment.stop()
        shutil.rmtree(deployment.folder, ignore_errors=True)
    os._exit(COULD_NOT_RUN)


def main():
    signal.signal(signal.SIGTERM, end_by_signal)
    record = Record(HERE / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.new_event_loop().run_until_complete(
                asyncio.wait_for(run(folder, record, has_trouble), 100.0)
            )
        except Exception as error:
            record.add("could not run:", repr(error))
            return COULD_NOT_RUN


if __name__ == "__main__":
    # Without waiting for the stand-ins' tasks; all child processes have ended.
    os._exit(main())
