"""A primary is replaced while some fronts miss it and the replica with its commits."""

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
acknowledged = {}


async def write_repeatedly(fleet, number):
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
    async with Fleet(FOLDER, fronts=10) as fleet:
        record = fleet.record
        group = Group(fleet, SERVICE, sync=1)
        backends = [Backend(group, 101 + i, zone) for i, zone in enumerate(ZONES)]
        for backend in backends:
            await backend.start()
        # Two more services: the two backends that lose a path are a fifth of all ten.
        services = {SERVICE: {"sync_replicas": 1}}
        for number, service in ((111, "hangars"), (121, "orders")):
            services[service] = {}
            other = Group(fleet, service)
            for i, zone in enumerate(ZONES):
                await Backend(other, number + i, zone).start()
        configuration = fleet.configuration([(DATABASE, SERVICE, "primary")], services)
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
        writers = [asyncio.create_task(write_repeatedly(fleet, i)) for i in range(10)]
        await asyncio.sleep(4.0)
        primary, near, far = backends
        # The primary is replaced: a new backend starts first, then the old one drains.
        new = await Backend(group, 104, primary.zone).start()
        await asyncio.sleep(1.0)
        cut = {fleet.program(f"front-{i}/front") for i in (1, 2, 3)}
        if TROUBLE:
            record.write(f"DEAF {far.id} and {new.id}")
            far.deaf = new.deaf = True
            record.write(f"CUT {primary.id} and {near.id} from front-1 to front-3")
            primary.cut_from.update(cut)
            near.cut_from.update(cut)
        await asyncio.sleep(2.0)
        await primary.drain()
        await asyncio.sleep(3.0)
        far.deaf = new.deaf = False
        primary.cut_from.clear()
        near.cut_from.clear()
        await asyncio.sleep(3.0)
        for task in writers:
            task.cancel()
        record.write(f"RESULT lost {len(broken)} acknowledged writes: {broken}")
        print(f"{len(acknowledged)} writes acknowledged, {len(broken)} lost")
        if not acknowledged or group.term == 1:
            return 2
        return 1 if broken else 0


if __name__ == "__main__":
    main(case)
