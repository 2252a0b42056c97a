"""One heartbeat of another writer, then the final fault: all processes are killed."""

import asyncio
import json
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import ZONES, Backend, Client, Fleet, Group, main, now  # noqa: E402

# ``TROUBLE=0`` leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger"
ROUTES = [("bookings", "primary"), ("views", "bounded_staleness")]
# Fields are missing (``version``, ``cold_remaining_ms``, ``db_role``, ``born``), and
# the address holds a byte that is part of no address.
FOREIGN = {
    "service": SERVICE,
    "address": "127.0.0.9\0:9999",
    "slots": 2,
    "state": "ready",
    "sequence": 1,
}
SESSIONS = 8
# As on the sheet for this kind of request.
RETRIES = 2
DEADLINE_S = 1.5


async def read_repeatedly(fleet, number, results):
    """Runs one read after the other, each with two retries within its deadline.

    The first try goes through the open session; retries reach other fronts.
    """
    client = None
    count = 0
    while True:
        await asyncio.sleep(random.uniform(0.02, 0.08))
        count += 1
        sent_at = now()
        kind = "NOSESSION"
        for attempt in range(1 + RETRIES):
            if now() - sent_at > DEADLINE_S:
                break
            if client is None:
                host = fleet.fronts[(number + count + attempt) % len(fleet.fronts)]
                client = Client(fleet, host, "views")
                if not await client.open():
                    client, kind = None, "NOSESSION"
                    continue
            query_id = f"r{number}x{count}a{attempt}"
            left_s = max(DEADLINE_S - (now() - sent_at), 0.05)
            kind, _, _ = await client.query(query_id, f"READ bay-{count}", left_s)
            if kind == "COMPLETE":
                break
            client.close()
            client = None
        results.append((sent_at, kind))


def share_served(results, since, until):
    kinds = [kind for at, kind in results if since <= at < until]
    served = kinds.count("COMPLETE")
    return served, len(kinds), {kind: kinds.count(kind) for kind in sorted(set(kinds))}


async def case():
    async with Fleet(FOLDER, fronts=3) as fleet:
        record = fleet.record
        group = Group(fleet, SERVICE)
        for i, zone in enumerate(ZONES):
            backend = await Backend(group, 101 + i, zone).start()
            backend.read_s = 0.015
        configuration = fleet.configuration(
            [(database, SERVICE, kind) for database, kind in ROUTES], {SERVICE: {}}
        )
        if not await fleet.begin(configuration):
            return 2
        await asyncio.sleep(1.0)
        started_at = now()
        results = []
        readers = [
            asyncio.create_task(read_repeatedly(fleet, i, results))
            for i in range(SESSIONS)
        ]
        await asyncio.sleep(8.0)
        if TROUBLE:
            for number, zone in enumerate(ZONES):
                body = json.dumps({**FOREIGN, "zone": zone}).encode()
                record.write(f"HEARTBEAT of another writer: {body.decode()}")
                path = f"/api/instances/x-{number}/heartbeat"
                status, _ = await fleet.control("POST", path, body, 5.0)
                record.write(f"HEARTBEAT of another writer -> {status}")
        fault_at = now()
        for program in fleet.programs:
            program.send(signal.SIGKILL)
            program.child.wait()
        await asyncio.sleep(0.5)
        for program in fleet.programs:
            program.settings["bootstrap"] = False
            program.write_settings()
            program.start()
        back_at = now()
        recovered_at = back_at + fleet.bounds["recovery_s"]
        await asyncio.sleep(recovered_at + 10.0 - now())
        for task in readers:
            task.cancel()
        before = share_served(results, started_at, fault_at)
        after = share_served(results, recovered_at, now())
        record.write(f"BEFORE the final fault {before}")
        record.write(f"AFTER recovery_s {after}")
        print(f"served before {before}, after {after}")
        if before[0] < before[1] / 4 or not after[1]:
            return 2
        broken = after[0] < after[1] / 4
        record.write(f"RESULT {'RECOVER is broken' if broken else 'held'}")
        return 1 if broken else 0


if __name__ == "__main__":
    main(case)
