"""Members with file storage and HTTP transport on one event loop."""

import contextlib
import random

from godwitwheel.consensus.errors import NotLeader
from godwitwheel.consensus.http_transport import consensus_routes
from godwitwheel.consensus.replicated import StateMachine
from godwitwheel.consensus.running import running_log
from godwitwheel.consensus.state import ConsensusOptions
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.server import Server
from tests.common.processes import free_port

WAIT_STEPS = 1500
WAIT_STEP_S = 0.02


class Commands(StateMachine):
    """Records every command."""

    def __init__(self):
        self.commands: list[bytes] = []

    def apply(self, index, command):
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def take_snapshot(self):
        return b"\n".join(self.commands)

    def load_snapshot(self, snapshot):
        self.commands = snapshot.split(b"\n")


@contextlib.contextmanager
def running_member(member_id, members, folder, snapshot_entries=4096):
    options = ConsensusOptions(member_id, members[member_id], members)
    with running_log(
        options,
        Commands(),
        folder / member_id,
        BootClock(),
        random.Random(member_id),
        snapshot_entries,
    ) as log:
        server = Server(consensus_routes(log), on_error=print)
        with server.listening(members[member_id]):
            yield log


def wait_until(condition):
    for _ in range(WAIT_STEPS):
        found = condition()
        if found:
            return found
        sleep(WAIT_STEP_S)
    raise AssertionError("the condition did not become true in time")


def leading(logs):
    return next((log for log in logs if log.leader_since() is not None), None)


def propose(logs, command):
    while True:
        leader = wait_until(lambda: leading(logs))
        with contextlib.suppress(NotLeader):
            return leader.propose(command, timeout_s=5.0)


def test_keeps_committed_commands_after_a_restart_and_a_lost_folder(tmp_path):
    members = {name: f"127.0.0.1:{free_port()}" for name in ("a", "b", "c")}
    with contextlib.ExitStack() as stack:
        logs = [
            stack.enter_context(running_member(name, members, tmp_path, 50))
            for name in members
        ]
        for number in range(120):
            assert propose(logs, b"%d" % number) == b"%d" % (number + 1)
        leading(logs).confirm_leadership(timeout_s=5.0)
    (tmp_path / "c").rename(tmp_path / "lost")
    with contextlib.ExitStack() as stack:
        logs = [
            stack.enter_context(running_member(name, members, tmp_path, 50))
            for name in members
        ]
        assert propose(logs, b"after") == b"121"
        newcomer = logs[2].core.state
        wait_until(newcomer.is_voter)
        wait_until(lambda: len(logs[2].state_machine.commands) == 121)
        machines = [log.state_machine.commands for log in logs]
        wait_until(lambda: machines[0] == machines[1] == machines[2])
