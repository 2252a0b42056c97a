"""A proxy that restarts gives a leaving primary its whole grace period once more."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from standins import Caller, Platform, Service, put_config, run_case  # noqa: E402

from fleet import Fleet, config, wait_served  # noqa: E402

DATABASE, SERVICE = "hangars", "svc"
DRAIN_TIMEOUT_S = 7.0
CONTACT_S = 4.0
# From the announcement that the primary leaves to the planned stop of one front.
STOP_AFTER_S = 1.5
# How long the leaving target serves after its drain timeout.
LINGER_S = 3.0
PLATFORM_DOWN_S = 11.0


async def write_steadily(record, address, ended, prefix):
    """Writes through one front, each time in a new session."""
    number = 0
    while not ended.is_set():
        number += 1
        request_id = f"{prefix}{number:05d}"
        try:
            caller = await Caller.connect(address, DATABASE)
            record.write("sent", id=request_id, front=address)
            _, outcome, _ = await caller.query(request_id, f"WRITE k {request_id}")
            record.write("answered", id=request_id, outcome=outcome)
            caller.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            record.write("not_answered", id=request_id, reason=type(error).__name__)
        await asyncio.sleep(0.05)


def late_requests(record_path, target_id, acked_at, in_touch_from):
    """Returns the requests that reached the target too late, by machines in touch.

    :param in_touch_from: by letter of the request's id, since when the front that took
        it has been in touch.
    """
    late = []
    for line in record_path.read_text().splitlines():
        event = json.loads(line)
        if event["event"] != "run" or event["target"] != target_id:
            continue
        since = in_touch_from.get(event["id"][0], float("inf"))
        if event["t"] > acked_at + DRAIN_TIMEOUT_S and event["t"] >= since:
            late.append((event["id"], round(event["t"] - acked_at, 2)))
    return late


async def play(record, trouble):
    fleet = Fleet(record)
    hosts = [
        (f"{fleet.network}.{60 + n}", zone)
        for n, zone in enumerate(["carrasco", "melilla", "laguna"])
    ]
    service = Service(record, SERVICE, hosts, fleet.control_addresses)
    platform = Platform(record, f"{fleet.network}.90", {SERVICE: service}, True)
    ended = asyncio.Event()
    try:
        await platform.go_up()
        fleet.start()
        await service.start()
        table = config(7, {DATABASE: ("primary", SERVICE)}, [SERVICE])
        await put_config(record, fleet.control_addresses, table)
        await wait_served(record, fleet, DATABASE)
        writing = [
            asyncio.create_task(write_steadily(record, address, ended, prefix))
            for prefix, address in zip("abc", fleet.front_addresses, strict=True)
        ]
        # All machines are in touch, and the core is stable.
        await asyncio.sleep(2 * CONTACT_S)
        if trouble:
            platform.go_down()
        leaving = service.primary()
        leaving.announce("draining")
        until = time.monotonic() + 5.0
        while leaving.drain_acked_at is None:
            if time.monotonic() > until:
                raise TimeoutError("the announcement was not acknowledged")
            await asyncio.sleep(0.01)
        acked_at = leaving.drain_acked_at
        await asyncio.sleep(STOP_AFTER_S)
        started_at = await fleet.fronts[0].stop_and_start(6.0)
        await asyncio.sleep(acked_at + DRAIN_TIMEOUT_S + LINGER_S - record.now())
        await leaving.leave()
        if trouble:
            await asyncio.sleep(acked_at + PLATFORM_DOWN_S - record.now())
            await platform.go_up()
        await asyncio.sleep(3.0)
        ended.set()
        await asyncio.gather(*writing)
        in_touch = {"a": started_at + CONTACT_S, "b": 0.0, "c": 0.0}
        late = late_requests(HERE / "record.txt", leaving.target_id, acked_at, in_touch)
        record.write("result", late=len(late), first=late[:1], last=late[-1:])
        print(f"late requests by machines in touch: {len(late)}")
        print(f"the first {late[:1]}, the last {late[-1:]}")
        return 1 if late else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    run_case(HERE, play, trouble=os.environ.get("TROUBLE", "1") != "0")
