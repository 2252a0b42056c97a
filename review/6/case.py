"""Another service takes a lost replica's address, and control stops waiting for it."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from standins import Caller, Platform, Service, Target, put_config, run_case  # noqa: E402

from fleet import Fleet, config, wait_served  # noqa: E402

DATABASE, SERVICE, OTHER = "kits", "svc", "fresh"
# For how long one of the replicas receives nothing before the other two crash.
DEAF_S = 3.0
SESSIONS_PER_FRONT = 2
# How long the primary is away.
DOWN_S = 6.5
# From the loss of a backend until its address is used again; ``reuse_after_s`` is 2.
REUSE_AFTER_S = 2.5


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
        await asyncio.sleep(0.05)


async def play(record, trouble):
    fleet = Fleet(record, fronts=3)
    hosts = [
        (f"{fleet.network}.{60 + n}", zone)
        for n, zone in enumerate(["carrasco", "melilla", "laguna"])
    ]
    service = Service(record, SERVICE, hosts, fleet.control_addresses, sync_replicas=1)
    other_hosts = [(f"{fleet.network}.{70 + n}", hosts[n][1]) for n in range(2)]
    other = Service(
        record, OTHER, other_hosts, fleet.control_addresses, sync_replicas=1
    )
    services = {SERVICE: service, OTHER: other}
    platform = Platform(record, f"{fleet.network}.90", services, True)
    ended = asyncio.Event()
    try:
        await platform.go_up()
        fleet.start()
        await service.start()
        await other.start()
        routes = {DATABASE: ("primary", SERVICE), "new": ("primary", OTHER)}
        table = config(7, routes, [SERVICE, OTHER], sync_replicas=1)
        await put_config(record, fleet.control_addresses, table)
        await wait_served(record, fleet, DATABASE)
        writing = [
            asyncio.create_task(
                write_steadily(record, service, address, ended, f"{prefix}{n}x")
            )
            for prefix, address in zip("abc", fleet.front_addresses, strict=True)
            for n in range(SESSIONS_PER_FRONT)
        ]
        await asyncio.sleep(5.0)
        primary = service.primary()
        sound, deaf = (t for t in service.targets.values() if t is not primary)
        if trouble:
            deaf.is_deaf = True
            record.write("deaf", target=deaf.target_id)
            await asyncio.sleep(DEAF_S)
            sound.crash()
            primary.crash()
            deaf.is_deaf = False
            await asyncio.sleep(REUSE_AFTER_S)
            # A further replica of another service gets the address of the lost one.
            newcomer = Target(other, "i-newcomer", sound.host, 9000, sound.zone, False)
            other.targets[newcomer.target_id] = newcomer
            await newcomer.start()
            record.write("address_used_again", address=newcomer.address)
            await asyncio.sleep(DOWN_S - REUSE_AFTER_S)
            record.write("primary_returns", is_leader=service.leader is primary)
            if service.leader is primary:
                await primary.start()
        await asyncio.sleep(4.0)
        lengths = {each.target_id: len(each.log) for each in service.targets.values()}
        record.write("logs", lengths=lengths)
        await asyncio.sleep(1.0)
        ended.set()
        await asyncio.gather(*writing)
        record.write("result", lost=len(service.lacks), ids=service.lacks)
        print(
            f"acknowledged commits that the promoted target lacks: {len(service.lacks)}"
        )
        if not service.acknowledged:
            return 2
        return 1 if service.lacks else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    run_case(HERE, play, trouble=os.environ.get("TROUBLE", "1") != "0")
