"""A primary and the platform are silent for a while; the final fault comes later."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import ZONES, Backend, Client, Fleet, Group, main, now  # noqa: E402

# ``TROUBLE=0`` leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger"
DATABASE = "bookings"
SILENT_S = 5.0
# How much longer than the primary the platform is down.
PLATFORM_LATER_S = 1.0


async def write_repeatedly(fleet, number, results):
    host = fleet.fronts[number % len(fleet.fronts)]
    client = None
    count = 0
    while True:
        await asyncio.sleep(0.05)
        if client is None:
            client = Client(fleet, host, DATABASE)
            if not await client.open():
                client = None
                results.append((now(), "NOSESSION"))
                continue
        count += 1
        sent_at = now()
        kind, _, _ = await client.query(f"w{number}x{count}", f"WRITE bay {count}")
        results.append((sent_at, kind))
        if kind in ("CLOSED", "NONE"):
            client.close()
            client = None


def share_served(results, since, until):
    kinds = [kind for at, kind in results if since <= at < until]
    served = kinds.count("COMPLETE")
    return served, len(kinds), {kind: kinds.count(kind) for kind in sorted(set(kinds))}


async def case():
    async with Fleet(FOLDER, fronts=2) as fleet:
        record = fleet.record
        group = Group(fleet, SERVICE, sync=1)
        backends = [Backend(group, 101 + i, zone) for i, zone in enumerate(ZONES)]
        for backend in backends:
            await backend.start()
        configuration = fleet.configuration(
            [(DATABASE, SERVICE, "primary")], {SERVICE: {"sync_replicas": 1}}
        )
        if not await fleet.begin(configuration):
            return 2
        results = []
        for i in range(4):
            asyncio.create_task(write_repeatedly(fleet, i, results))
        await asyncio.sleep(8.0)
        if TROUBLE:
            record.write("DARK primary, platform down")
            fleet.platform.is_down = True
            backends[0].dark = True
            await asyncio.sleep(SILENT_S)
            backends[0].dark = False
            record.write("BACK primary")
            await asyncio.sleep(PLATFORM_LATER_S)
            fleet.platform.is_down = False
            record.write("BACK platform")
        await asyncio.sleep(6)
        back = share_served(results, now() - 4.0, now())
        record.write(f"ONCE both were back {back}")
        fault_at = now()
        for program in fleet.programs:
            program.send(signal.SIGKILL)
            program.child.wait()
        await asyncio.sleep(0.5)
        for program in fleet.programs:
            program.settings["bootstrap"] = False
            program.write_settings()
            program.start()
        recovered_at = now() + fleet.bounds["recovery_s"]
        await asyncio.sleep(recovered_at + 8.0 - now())
        before = share_served(results, 0, fault_at)
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
