"""Two backends of a service with ``sync_replicas`` 1 are replaced in turn."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import ZONES, Backend, Client, Fleet, Group, main, now  # noqa: E402

# ``TROUBLE=0`` leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger"
DATABASE = "bookings"
GAP_S = 1.0
acknowledged = {}


async def write_repeatedly(fleet, number):
    """Writes through one front, one write after the other, each a client attempt."""
    host = fleet.fronts[number % len(fleet.fronts)]
    count = 0
    while True:
        client = Client(fleet, host, DATABASE)
        if not await client.open():
            await asyncio.sleep(0.1)
            continue
        while True:
            count += 1
            query_id = f"w{number}x{count}"
            kind, _, _ = await client.query(query_id, f"WRITE item{number} {count}")
            if kind == "COMPLETE":
                acknowledged[query_id] = now()
            if kind in ("CLOSED", "NONE"):
                break
            await asyncio.sleep(0.03)
        client.close()


async def case():
    async with Fleet(FOLDER, fronts=2) as fleet:
        record = fleet.record
        group = Group(fleet, SERVICE, sync=1)
        old = [Backend(group, 101 + i, zone) for i, zone in enumerate(ZONES)]
        for backend in old:
            await backend.start()
        configuration = fleet.configuration(
            [(DATABASE, SERVICE, "primary")], {SERVICE: {"sync_replicas": 1}}
        )
        if not await fleet.begin(configuration):
            return 2
        broken = []
        promote = group.promote

        def checked_promote(backend, token):
            before = group.term
            promote(backend, token)
            if group.term == before:
                return
            held = {query_id for _, query_id in backend.log}
            lost = [each for each in acknowledged if each not in held]
            record.write(f"CHECK {len(acknowledged)} acknowledged, lost {lost}")
            broken.extend(lost)

        group.promote = checked_promote
        writers = [asyncio.create_task(write_repeatedly(fleet, i)) for i in range(4)]
        await asyncio.sleep(3.0)
        if not acknowledged:
            return 2
        # The backends are replaced one after the other: the new one starts first, then
        # the old one drains. A replica is the first, the primary the second.
        first = [old[1], old[0]] if TROUBLE else [old[0]]
        for i, leaving in enumerate(first):
            await Backend(group, 104 + i, leaving.zone).start()
            await asyncio.sleep(GAP_S)
            await leaving.drain()
        until = now() + 15.0
        while group.term == 1 and now() < until:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        for task in writers:
            task.cancel()
        if group.term == 1:
            record.write("RESULT no promotion")
            return 2
        record.write(f"RESULT lost {len(broken)} acknowledged writes: {broken}")
        print(f"{len(acknowledged)} writes acknowledged, {len(broken)} lost")
        return 1 if broken else 0


if __name__ == "__main__":
    main(case)
