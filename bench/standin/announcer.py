"""Announces a target to proxies, one after another."""

import itertools

from godwitwheel.internal.loop import sleep
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import WireError

from .state import TargetState

ANNOUNCE_INTERVAL_S = 0.2
ANNOUNCE_TIMEOUT_S = 0.5


def announce_forever(state: TargetState, client: Client) -> None:
    """Posts the status to the next proxy every ``ANNOUNCE_INTERVAL_S``."""
    for address in itertools.cycle(state.settings.announce):
        announce(state, client, address)
        sleep(ANNOUNCE_INTERVAL_S)


def announce(state: TargetState, client: Client, address: str) -> None:
    """Posts the status to one proxy; a failure is ignored."""
    try:
        client.call(address, "/v1/announce", state.status(), object, ANNOUNCE_TIMEOUT_S)
    except WireError:
        return
