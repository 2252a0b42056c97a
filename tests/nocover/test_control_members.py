"""Three control member processes: the cell survives the loss of its leader."""

import contextlib

import pytest

from bench.processes import ManagedProcess
from godwitwheel.wire.caller import CallerAnswer, Outcome
from godwitwheel.wire.client import Client
from godwitwheel.wire.control import (
    Claim,
    ClaimReply,
    ClaimStatus,
    InForce,
    OutcomeRecorded,
    Publish,
    PublishReply,
    PublishStatus,
    RecordOutcome,
)
from godwitwheel.wire.errors import ErrorReply, WireError
from godwitwheel.wire.service import hash_services
from tests.common.processes import free_address, wait_until

CALL_TIMEOUT_S = 2.0


class Cell:
    """A cell of three control members; calls go to the leader."""

    def __init__(self, folder):
        self.client = Client()
        self.addresses = {f"c{number}": free_address() for number in range(3)}
        members = ",".join(f"{name}={item}" for name, item in self.addresses.items())
        self.processes = {}
        for name, address in self.addresses.items():
            arguments = ["control", "--id", name, "--data-centre", "dc"]
            arguments += ["--listen", address, "--members", members]
            arguments += ["--data-folder", str(folder / name)]
            arguments += ["--log-file", str(folder / f"{name}.log")]
            process = ManagedProcess(name, "godwitwheel", arguments, folder / "out")
            self.processes[name] = process

    def leader(self):
        for name, address in self.addresses.items():
            with contextlib.suppress(WireError):
                self.client.call(address, "/v1/in-force", None, InForce, CALL_TIMEOUT_S)
                return name
        return None

    def call(self, path, message, reply):
        def attempt():
            address = self.addresses[wait_until(self.leader, "a member becomes leader")]
            with contextlib.suppress(WireError):
                return self.client.call(address, path, message, reply, CALL_TIMEOUT_S)
            return None

        return wait_until(attempt, f"{path} is answered")


@pytest.fixture
def cell(tmp_path):
    cell = Cell(tmp_path)
    try:
        for process in cell.processes.values():
            process.start()
        yield cell
    finally:
        for process in cell.processes.values():
            process.kill()


def test_claims_and_stored_answers_survive_the_loss_of_the_leader(cell):
    claim = Claim("s", "key", "digest", "attempt-1", 3600)
    assert cell.call("/v1/claim", claim, ClaimReply).status is ClaimStatus.granted
    answer = CallerAnswer(Outcome.done, message="booked")
    outcome = RecordOutcome("s", "key", "attempt-1", answer)
    assert cell.call("/v1/outcome", outcome, OutcomeRecorded).recorded
    first = Publish("one", 0, hash_services({}), {})
    assert cell.call("/v1/publish", first, PublishReply).revision == 1
    second = Publish("two", 0, hash_services({}), {})
    conflict = cell.call("/v1/publish", second, PublishReply)
    assert conflict == PublishReply(PublishStatus.conflict, 1, "one")

    leader = cell.leader()
    for name in cell.addresses:
        if name != leader:
            with pytest.raises(ErrorReply) as caught:
                path = "/v1/in-force"
                cell.client.call(
                    cell.addresses[name], path, None, InForce, CALL_TIMEOUT_S
                )
            assert caught.value.status == 421
    cell.processes[leader].kill()

    claim = Claim("s", "key", "digest", "attempt-2", 3600)
    reply = cell.call("/v1/claim", claim, ClaimReply)
    assert (reply.status, reply.answer) == (ClaimStatus.recorded, answer)
    assert cell.call("/v1/publish", first, PublishReply).revision == 1
    cell.processes[leader].start()
    survivor = cell.leader()
    cell.processes[survivor].terminate()
    assert cell.processes[survivor].wait(10.0) == 0
    assert cell.call("/v1/in-force", None, InForce).publish_id == "one"
