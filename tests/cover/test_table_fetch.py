"""A routing table of any size reaches each process in small chunks."""

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitwheel.directory.errors import InvalidChange
from godwitwheel.directory.table_chunks import CHUNK_BYTES, decode_change
from godwitwheel.internal.clock import ManualClock
from godwitwheel.observe.events import record_failure
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.table_fetch import TableFetcher, TableTransfer
from godwitwheel.wire.client import Client
from godwitwheel.wire.server import Response, Server
from godwitwheel.wire.status import GONE, NOT_FOUND, PARTIAL
from tests.common.fake_members import FakeClient, FakeMember, large_table

ADDRESSES = ["10.0.0.1:7440", "10.0.0.2:7440", "10.0.0.3:7440"]
MAX_STEPS = 60


class Cell:
    """Control members, and a process that fetches tables from them."""

    def __init__(self, seed=1):
        self.clock = ManualClock(100.0)
        self.members = {address: FakeMember(self.clock) for address in ADDRESSES}
        self.client = FakeClient(self.members)
        self.rng = random.Random(seed)
        self.fetcher = self.start_process()
        self.versions = []

    def start_process(self):
        board = SessionBoard(self.clock, None, "dc-1")
        members = ControlMembers(ADDRESSES, self.rng)
        return TableFetcher(board, members, self.client, self.rng)

    def publish(self, table, addresses=ADDRESSES):
        for address in addresses:
            self.members[address].publish(table)

    def step(self):
        self.clock.advance(self.fetcher.step())
        held = self.held()
        if held.version not in self.versions:
            self.versions.append(held.version)

    def fetch(self):
        """Steps until the held table is the advertised one."""
        for _ in range(MAX_STEPS):
            if self.fetcher.is_current():
                return
            self.step()
        raise AssertionError(f"no table after {MAX_STEPS} steps")

    def held(self):
        return self.fetcher.board.view.table

    def chunks(self):
        return [call for call in self.client.calls if call.status == PARTIAL]


@pytest.fixture
def cell():
    return Cell()


def test_a_large_table_arrives_in_small_chunks(cell):
    """A reply of 300 KB never arrived within a report's timeout."""
    table = large_table(1)
    cell.publish(table)
    cell.fetcher.advertise(1)
    cell.fetch()
    assert cell.held() == table
    assert len(cell.chunks()) > 1
    assert max(len(call.answered) for call in cell.chunks()) == CHUNK_BYTES


def test_a_small_change_takes_one_small_chunk(cell):
    for version in (1, 2):
        cell.publish(large_table(version))
        cell.fetcher.advertise(version)
        before = len(cell.client.calls)
        cell.fetch()
    assert cell.held() == large_table(2)
    assert len(cell.client.calls) == before + 1
    assert len(cell.client.calls[-1].answered) < 400


@pytest.mark.parametrize("leader", ADDRESSES)
def test_a_small_change_comes_from_the_leader_that_named_it(cell, leader):
    """Another member may not have applied it yet, which costs a retry."""
    cell.members[leader].publish(large_table(1, routes=3))
    cell.fetcher.members.leader = leader
    cell.fetcher.advertise(1)
    cell.step()
    assert cell.held() == large_table(1, routes=3)


def test_a_large_table_is_not_left_to_the_leader_alone(cell):
    cell.publish(large_table(1))
    cell.fetcher.members.leader = ADDRESSES[0]
    cell.fetcher.advertise(1)
    cell.step()
    assert cell.client.calls[-1].address == ADDRESSES[0]
    assert cell.fetcher.address == ""


def test_another_member_continues_at_the_same_offset(cell):
    cell.publish(large_table(1))
    cell.fetcher.advertise(1)
    cell.step()
    cell.members[cell.fetcher.address].is_silent = True
    cell.fetch()
    assert cell.held() == large_table(1)
    paths = [call.path for call in cell.client.calls]
    assert len(paths) == len(set(paths))
    assert len({call.address for call in cell.client.calls}) == 2


def test_members_encode_a_change_to_the_same_bytes(cell):
    """Chunks of two members could not be joined otherwise."""
    cell.publish(large_table(1))
    cell.members[ADDRESSES[0]].restart(cell.clock)
    cell.publish(large_table(2, routes=1400, changed=1200))
    for base in (0, 1):
        answers = {
            cell.client.fetch(address, f"/v1/directory/table/{base}/2/0", 1.0)[2]
            for address in ADDRESSES
        }
        assert len(answers) == 1


def test_a_transfer_is_finished_before_the_next_version_is_fetched(cell):
    """With versions every 60 ms, no transfer over a slow link would ever end."""
    cell.publish(large_table(1))
    cell.fetcher.advertise(1)
    cell.step()
    for version in range(2, 20):
        cell.publish(large_table(version))
        cell.fetcher.advertise(version)
    cell.fetch()
    assert cell.held() == large_table(19)
    assert cell.versions == [0, 1, 19]


def test_a_member_that_lags_is_left_for_another(cell):
    cell.publish(large_table(1), ADDRESSES[:1])
    cell.fetcher.address = ADDRESSES[1]
    cell.fetcher.advertise(1)
    cell.fetch()
    assert cell.client.calls[0].status == NOT_FOUND
    assert cell.held() == large_table(1)


def test_a_version_that_no_member_knows_is_replaced_by_the_newest(cell):
    cell.publish(large_table(1))
    cell.fetcher.advertise(1)
    cell.step()
    cell.publish(large_table(2))
    for member in cell.members.values():
        member.restart(cell.clock)
    cell.fetcher.advertise(2)
    cell.fetch()
    assert cell.held() == large_table(2)
    assert 1 not in cell.versions


def test_a_process_whose_table_is_forgotten_receives_the_whole_one(cell):
    cell.publish(large_table(1))
    cell.fetcher.advertise(1)
    cell.fetch()
    cell.publish(large_table(2))
    for member in cell.members.values():
        member.restart(cell.clock)
    cell.fetcher.advertise(2)
    cell.fetch()
    assert GONE in [call.status for call in cell.client.calls]
    assert cell.held() == large_table(2)


def flip(status, headers, body):
    return status, headers, body[:-1] + bytes([body[-1] ^ 1])


def shorten(status, headers, body):
    return status, headers, body[:-1]


def misplace(status, headers, body):
    return status, {"content-range": "bytes 1-12288/99999"}, body


def lose_header(status, headers, body):
    return status, {}, body


@pytest.mark.parametrize("distort", [flip, shorten, misplace, lose_header])
def test_a_corrupt_transfer_is_begun_again(cell, distort):
    cell.publish(large_table(1))
    cell.fetcher.advertise(1)
    intact = cell.client.distort
    cell.client.distort = distort
    for _ in range(6):
        cell.step()
    assert cell.held().version == 0
    cell.client.distort = intact
    cell.fetch()
    assert cell.held() == large_table(1)


@pytest.mark.parametrize("data", [b"", b"x", zlib.compress(b"[]"), zlib.compress(b"{")])
def test_a_corrupt_change_is_refused(data):
    with pytest.raises(InvalidChange):
        decode_change(data)


def test_a_change_of_the_total_size_is_refused():
    transfer = TableTransfer(0, 1)
    whole = bytes(CHUNK_BYTES)
    transfer.add(f"bytes 0-{CHUNK_BYTES - 1}/{3 * CHUNK_BYTES}", whole)
    second = f"bytes {CHUNK_BYTES}-{2 * CHUNK_BYTES - 1}"
    with pytest.raises(InvalidChange):
        transfer.add(f"{second}/{4 * CHUNK_BYTES}", whole)


def test_a_change_is_encoded_once_for_all_processes(cell, monkeypatch):
    """660 processes that ask at once would keep a member busy for seconds."""
    encoded = []
    compress = zlib.compress

    def counted(data, level):
        encoded.append(len(data))
        return compress(data, level)

    monkeypatch.setattr(zlib, "compress", counted)
    cell.publish(large_table(1))
    for _ in range(20):
        cell.fetcher = cell.start_process()
        cell.fetcher.advertise(1)
        cell.fetch()
    assert len(encoded) <= len(ADDRESSES)


@pytest.mark.parametrize("path", ["0/1/x", "0/1/999999", "-1/1/0"])
def test_an_impossible_chunk_is_refused(cell, path):
    cell.publish(large_table(1))
    status, _, _ = cell.client.fetch(ADDRESSES[0], f"/v1/directory/table/{path}", 1.0)
    assert status == 400


events = st.lists(
    st.one_of(
        st.just("step"),
        st.just("step"),
        st.just("publish"),
        st.tuples(st.sampled_from(["silence", "restart"]), st.sampled_from(ADDRESSES)),
    ),
    max_size=40,
)


@settings(max_examples=60, deadline=None)
@given(events, st.integers(0, 1000))
def test_the_held_table_is_always_one_that_was_published_and_never_an_older_one(
    events, seed
):
    cell = Cell(seed)
    published = {0: cell.held()}
    held = 0
    for event in events:
        if event == "publish":
            table = large_table(len(published), routes=400)
            published[table.version] = table
            cell.publish(table)
            cell.fetcher.advertise(table.version)
        elif event == "step":
            if not cell.fetcher.is_current():
                cell.step()
        elif event[0] == "silence":
            member = cell.members[event[1]]
            member.is_silent = not member.is_silent
        else:
            cell.members[event[1]].restart(cell.clock)
        assert cell.held() == published[cell.held().version]
        assert cell.held().version >= held
        held = cell.held().version
    for member in cell.members.values():
        member.is_silent = False
    cell.fetch()
    assert cell.held().version == len(published) - 1


def test_a_client_reads_the_headers_of_a_reply():
    def serve(request):
        return Response(b"ab", PARTIAL, [("Content-Range", "bytes 0-1/5")])

    server = Server({("GET", "/chunk"): serve}, record_failure)
    with server.listening("127.0.0.1:0"), Client() as client:
        for _ in range(2):
            status, headers, body = client.fetch(server.address, "/chunk", 5.0)
            assert (status, body) == (PARTIAL, b"ab")
            assert headers["content-range"] == "bytes 0-1/5"
        assert len(client.idle[server.address]) == 1
