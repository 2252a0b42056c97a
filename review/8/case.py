"""An order that got no answer is carried out after a later one has been."""

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from standins import Caller, Platform, Service, put_config, run_case  # noqa: E402

from fleet import Fleet, config, wait_served  # noqa: E402

DATABASE, SERVICE = "dispatch", "svc"
PROMOTE_S = 1.0
# A former primary goes on for a second after it can reach the new one.
GOES_ON_S = 1.0
LATE_S = 6.0
RELEASE_AFTER_S = 2.5


async def write_steadily(record, service, address, ended, prefix):
    number = 0
    while not ended.is_set():
        number += 1
        request_id = f"{prefix}{number:05d}"
        try:
            caller = await Caller.connect(address, DATABASE)
            record.write("sent", id=request_id)
            _, outcome, _ = await caller.query(request_id, f"WRITE k {request_id}")
            record.write("answered", id=request_id, outcome=outcome)
            if outcome.startswith("COMPLETE"):
                service.acknowledged.append(request_id)
            caller.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            record.write("not_answered", id=request_id, reason=type(error).__name__)
        await asyncio.sleep(0.03)


def commits_by_former_primaries(service):
    """Returns acknowledged commits that a target made after it had lost the lead."""
    acknowledged = set(service.acknowledged)
    found = []
    for line in (HERE / "record.txt").read_text().splitlines():
        event = json.loads(line)
        if event["event"] != "commit" or event["leads"]:
            continue
        if event["id"] in acknowledged:
            found.append((event["id"], event["target"]))
    return found


async def until_true(condition, limit_s, what):
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        await asyncio.sleep(0.02)


async def play(record, trouble):
    fleet = Fleet(record, bounds={"require_fencing": False})
    hosts = [
        (f"{fleet.network}.{60 + n}", zone)
        for n, zone in enumerate(["carrasco", "melilla", "laguna"])
    ]
    service = Service(
        record, SERVICE, hosts, fleet.control_addresses, goes_on_s=GOES_ON_S
    )
    platform = Platform(
        record, f"{fleet.network}.90", {SERVICE: service}, False, PROMOTE_S
    )
    ended = asyncio.Event()
    try:
        await platform.go_up()
        fleet.start()
        await service.start()
        table = config(7, {DATABASE: ("primary", SERVICE)}, [SERVICE])
        await put_config(record, fleet.control_addresses, table)
        await wait_served(record, fleet, DATABASE)
        writing = [
            asyncio.create_task(write_steadily(record, service, address, ended, prefix))
            for prefix, address in zip("abc", fleet.front_addresses, strict=True)
        ]
        await asyncio.sleep(5.0)
        first = service.primary()
        crashed_at = time.monotonic()
        if trouble:
            platform.late_s = LATE_S
            first.crash()
            await until_true(
                lambda: service.primary() is not first, 15.0, "no promotion"
            )
        second = service.primary()
        await asyncio.sleep(crashed_at + RELEASE_AFTER_S - time.monotonic())
        second.announce("draining")
        await until_true(lambda: service.primary() is not second, 15.0, "no second one")
        await asyncio.sleep(crashed_at + LATE_S + 5.0 - time.monotonic())
        ended.set()
        await asyncio.gather(*writing)
        found = commits_by_former_primaries(service)
        record.write("result", commits=found, lost=service.lacks)
        print(f"acknowledged commits of a former primary: {len(found)}, {found[:2]}")
        print(
            f"acknowledged commits that a promotion rolled back: {len(service.lacks)}"
        )
        return 1 if found else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    run_case(HERE, play)
