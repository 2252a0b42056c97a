"""An invalid configuration that was cut short occupies every member of control."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from standins import Platform, Service, http_call, put_config, run_case  # noqa: E402

from fleet import Fleet, config, wait_served  # noqa: E402

DATABASE, SERVICE = "hangars", "svc"
QUOTED_ROUTES = 700
CONTACT_S = 4.0
# How long the operator waits for an answer; "more for large bodies" than a second.
WAIT_S = 2.0


def long_config(version):
    """Returns a configuration with a long name, which quotes many routes as text."""
    routes = {f"db{n:05d}": ("primary", SERVICE) for n in range(QUOTED_ROUTES)}
    document = config(version, {DATABASE: ("primary", SERVICE)}, [SERVICE])
    quoted = json.dumps(config(version, routes, [SERVICE])["routes"])
    document["routes"][0]["name"] = quoted
    return json.dumps(document).encode()


async def send_bytes(address, body, limit_s):
    """Sends a configuration once; returns the status, or ``None`` without an answer."""
    try:
        call = http_call(address, "POST", "/api/config/put", body)
        status, _ = await asyncio.wait_for(call, limit_s)
        return status
    except (TimeoutError, OSError, ValueError):
        return None


async def read_back(record, addresses, limit_s):
    """Reads the configuration at each node in turn; returns its version or ``None``."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        for address in addresses:
            try:
                call = http_call(address, "GET", "/api/config/get")
                status, document = await asyncio.wait_for(call, 1.0)
            except (TimeoutError, OSError, ValueError):
                record.write("read", node=address, status=None)
                continue
            record.write("read", node=address, status=status)
            if status == 200:
                return json.loads(document)["version"]
        await asyncio.sleep(0.1)
    return None


async def play(record, trouble):
    fleet = Fleet(record)
    hosts = [
        (f"{fleet.network}.{60 + n}", zone)
        for n, zone in enumerate(["carrasco", "melilla", "laguna"])
    ]
    service = Service(record, SERVICE, hosts, fleet.control_addresses)
    platform = Platform(record, f"{fleet.network}.90", {SERVICE: service}, True)
    try:
        await platform.go_up()
        fleet.start()
        await service.start()
        table = config(7, {DATABASE: ("primary", SERVICE)}, [SERVICE])
        await put_config(record, fleet.control_addresses, table)
        await wait_served(record, fleet, DATABASE)
        await asyncio.sleep(2 * CONTACT_S)
        body = long_config(8)
        if trouble:
            # Cut short within the name.
            body = body[: body.rindex(b'\\"')]
        expected = 7 if trouble else 8
        record.write("config_sent", version=8, bytes=len(body), cut_short=trouble)
        for address in fleet.control_addresses:
            status = await send_bytes(address, body, WAIT_S)
            record.write("config_answered", node=address, status=status)
            if status is not None and status < 500:
                break
        # The end of the day: the operator reads it for ``contact_ms`` and longer.
        version = await read_back(record, fleet.control_addresses, 2 * CONTACT_S)
        is_broken = version != expected
        began = time.monotonic()
        if is_broken:
            later = await read_back(record, fleet.control_addresses, 60.0)
            after_s = round(time.monotonic() - began + 2 * CONTACT_S, 1)
            record.write("read_later", version=later, after_s=after_s)
            print(f"read back: {version}; read later: {later} after {after_s} s")
        else:
            print(f"read back: {version}")
        record.write("result", version=version)
        return 1 if is_broken else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    run_case(HERE, play, trouble=os.environ.get("TROUBLE", "1") != "0")
