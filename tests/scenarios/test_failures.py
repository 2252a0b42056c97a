"""Steps of the failure scenarios, which run real processes."""

import contextlib
import os
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.deployment import Deployment
from bench.ledger_check import check
from bench.load import LoadProcesses
from bench.load_run import final_rows
from bench.records import Ending, RequestKind
from bench.topology import small
from bench.workload import entry_keys
from godwitwheel.wire.caller import Outcome, Reason
from godwitwheel.wire.target import Role
from tests.common.callers import (
    AVAILABILITY,
    BOOK,
    CANCEL,
    GROUP,
    ORDER_PAIR,
    OWN_BOOKINGS,
    BackgroundRequest,
    new_key,
    send,
    send_until_accepted,
)
from tests.common.processes import wait_until

LOAD_PER_S = 40.0
LOAD_S = 7.0
QUIET_POLLS = 20

scenarios("failures.feature")


class World:
    """State shared by the steps of a scenario.

    :ivar lost: the target that is killed, paused or leaving.
    """

    def __init__(self, stack: contextlib.ExitStack, folder: Path):
        self.stack = stack
        self.folder = folder
        self.deployment: Deployment | None = None
        self.load: LoadProcesses | None = None
        self.records = []
        self.lost = ""
        self.key = new_key()
        self.background_requests: list[BackgroundRequest] = []
        self.session = ""
        self.unclaimed: list[str] = []

    def start(self, statement_ms=2.0, with_relay=False):
        topology = small()
        topology.statement_ms = statement_ms
        # pytest keeps the folder with its logs if the scenario fails.
        self.deployment = self.stack.enter_context(
            Deployment(topology, with_relay, folder=self.folder)
        )

    def proxy(self, number):
        return self.deployment.proxy_addresses()[number - 1]

    def primary(self):
        return self.deployment.primary_of(GROUP)

    def statements(self):
        targets = self.deployment.targets_of(GROUP)
        return sum(self.deployment.counters(name).statements for name in targets)

    def send_and_wait_for_statements(self, *requests):
        before = self.statements()
        self.background_requests += [
            BackgroundRequest(self.proxy(1), *request) for request in requests
        ]
        expected = before + len(requests)
        wait_until(
            lambda: self.statements() >= expected, "the target runs the statements"
        )

    def rows_of(self, key):
        names = {name for _, name in final_rows(self.deployment)[GROUP]}
        return [name for name in entry_keys(key, 2) if name in names]

    def count(self, key):
        rows = final_rows(self.deployment)[GROUP]
        return sum(name == key for _, name in rows)


@pytest.fixture
def world(tmp_path):
    with contextlib.ExitStack() as stack:
        yield World(stack, tmp_path)


@given("a deployment under load")
def start_under_load(world):
    world.start()
    deployment = world.deployment
    world.load = world.stack.enter_context(
        LoadProcesses(
            deployment.proxy_addresses(),
            "ferreira",
            [GROUP],
            LOAD_PER_S,
            LOAD_S,
            deployment.folder,
            resend_s=10.0,
        )
    )
    before = world.statements()
    wait_until(lambda: world.statements() > before + LOAD_PER_S, "the load is running")


@given("a deployment whose statements take 300 ms")
def start_slow(world):
    world.start(statement_ms=300.0)


@given("a deployment whose links can be cut")
def start_with_relay(world):
    world.start(with_relay=True)


@given("a booking that all replicas have")
def book_everywhere(world):
    answer = send_until_accepted(world.proxy(2), BOOK, world.key)
    assert answer.outcome is Outcome.done
    world.session = answer.session
    deployment = world.deployment
    position = deployment.status(world.primary()).position

    def all_have_it():
        statuses = [deployment.status(name) for name in deployment.targets_of(GROUP)]
        return all(status.position >= position for status in statuses)

    wait_until(all_have_it, "every replica has the booking")


@when("the primary is killed")
def kill_primary(world):
    world.lost = world.primary()
    world.deployment.kill(world.lost)


@when("the primary is paused")
def pause_primary(world):
    world.lost = world.primary()
    world.deployment.pause(world.lost)


@when("the old primary is resumed")
def resume_primary(world):
    world.deployment.resume(world.lost)


@when("an order of two entries is sent to the first proxy")
def send_order(world):
    world.send_and_wait_for_statements((ORDER_PAIR, world.key))


@when("the first proxy is killed while the order runs")
def kill_proxy(world):
    world.deployment.kill("proxy-1")


@when("the order is sent again through the second proxy")
def resend_order(world):
    world.background_requests.append(
        BackgroundRequest(world.proxy(2), ORDER_PAIR, world.key)
    )


@when("a booking is sent to the first proxy")
def send_booking(world):
    world.send_and_wait_for_statements((BOOK, world.key))


@when("it is sent again through the second proxy while it runs")
def resend_while_running(world):
    world.background_requests.append(BackgroundRequest(world.proxy(2), BOOK, world.key))


@when("it is sent again through the third proxy afterwards")
def resend_afterwards(world):
    for request in world.background_requests:
        request.result()
    world.background_requests.append(BackgroundRequest(world.proxy(3), BOOK, world.key))


@when(parsers.parse("the {role} announces that it leaves"))
def announce_leaving(world, role):
    primary = world.primary()
    others = [name for name in world.deployment.targets_of(GROUP) if name != primary]
    world.lost = primary if role == "primary" else others[0]
    world.deployment.leave(world.lost)


@when("three bookings are sent to the first proxy")
def send_three(world):
    world.send_and_wait_for_statements(*((BOOK, new_key()) for _ in range(3)))


@when("the first proxy is asked to stop while they run")
def stop_proxy(world):
    world.deployment.terminate("proxy-1")


@when("the data centre of the second proxy is isolated")
def isolate(world):
    deployment = world.deployment
    data_centre = deployment.members["proxy-2"].data_centre
    assert deployment.members[world.primary()].data_centre != data_centre
    deployment.isolate(deployment.process_ids_in(data_centre))


@when("the links are healed")
def heal(world):
    world.deployment.heal()


@then("another target becomes primary")
def another_primary(world):
    wait_until(lambda: world.primary() not in ("", world.lost), "another primary")


@then("it follows the new primary")
def follows(world):
    def is_following():
        old = world.deployment.status(world.lost)
        new = world.deployment.status(world.primary())
        return old and new and (old.role, old.term) == (Role.replica, new.term)

    wait_until(is_following, "the old primary follows")


@then("the load ends with bookings at the new primary")
def end_load(world):
    world.records = world.load.wait().records
    assert any(
        record.ending is Ending.done
        and record.kind is RequestKind.write
        and record.served_by == world.primary()
        for record in world.records
    )


@then("every answer was correct")
def every_answer_correct(world):
    assert check(world.records, final_rows(world.deployment)).faults() == {}


@then("the order is recorded completely or not at all, as its answer says")
def all_or_nothing(world):
    with contextlib.suppress(OSError):
        world.background_requests[0].result()
    answer = world.background_requests[1].result()
    recorded = world.rows_of(world.key)
    assert recorded in ([], entry_keys(world.key, 2))
    assert answer.outcome in (Outcome.done, Outcome.unknown)
    if answer.outcome is Outcome.done:
        assert recorded and world.count(world.key) == 1


@then("another order is done through the third proxy")
def another_order(world):
    def is_done():
        answer = send(world.proxy(3), ORDER_PAIR, new_key())
        return answer.outcome is Outcome.done

    wait_until(is_done, "the killed proxy's transaction blocks no other")


@then("all three get the same answer")
def same_answers(world):
    answers = [request.result() for request in world.background_requests]
    assert [answer.outcome for answer in answers] == [Outcome.done] * 3
    assert len({str(answer.results) for answer in answers}) == 1
    assert [answer.replayed for answer in answers] == [False, True, True]


@then("the booking is recorded once")
def recorded_once(world):
    assert world.count(world.key) == 1


@then("it gets no more statements while other targets do")
def no_more_statements(world):
    seen = []

    def is_quiet():
        counters = world.deployment.counters(world.lost)
        seen.append((counters.statements, world.statements()))
        recent = seen[-QUIET_POLLS:]
        is_still = len({own for own, _ in recent}) == 1
        return is_still and len(recent) == QUIET_POLLS and recent[0][1] < recent[-1][1]

    wait_until(is_quiet, "only the other targets get statements")


@then("all three bookings are done")
def all_done(world):
    outcomes = [request.result().outcome for request in world.background_requests]
    assert outcomes == [Outcome.done] * 3


@then("the first proxy exits with status 0")
def exits_with_status_0(world):
    process = world.deployment.members["proxy-1"].process
    assert process.wait(30.0) == os.EX_OK


@then("the second proxy claims no booking and says when to retry")
def claims_no_booking(world):
    def is_claim_unavailable():
        key = new_key()
        answer = send(world.proxy(2), BOOK, key, session=world.session)
        if answer.reason is not Reason.claim_unavailable:
            return False
        # An earlier attempt with the key may have run through another proxy, which
        # an isolated proxy can't know: "not run" could lead to a second booking.
        assert answer.outcome is Outcome.unknown
        assert answer.retry_after_ms > 0
        world.unclaimed.append(key)
        return True

    wait_until(is_claim_unavailable, "the isolated proxy claims no booking")


@then("it refuses writes that need no claim as not run")
def refuses_writes(world):
    def is_refused():
        options = {"session": world.session, "with_key": False}
        answer = send(world.proxy(2), CANCEL, new_key(), **options)
        return answer.outcome is Outcome.not_run

    wait_until(is_refused, "the isolated proxy refuses writes")


@then("none of the unclaimed bookings is recorded")
def unclaimed_not_recorded(world):
    assert world.unclaimed
    assert [world.count(key) for key in world.unclaimed] == [0] * len(world.unclaimed)


@then("the caller reads its booking there from a replica")
def reads_own(world):
    options = {"session": world.session}
    answer = send_until_accepted(world.proxy(2), OWN_BOOKINGS, new_key(), **options)
    assert (answer.outcome, answer.from_replica) == (Outcome.done, True)
    assert world.key in answer.results[0].rows[0][1]


@then("reads that need fresher data are refused there as not run")
def refuses_stale_reads(world):
    def is_refused():
        answer = send(world.proxy(2), AVAILABILITY, new_key(), session=world.session)
        return (answer.outcome, answer.reason) == (
            Outcome.not_run,
            Reason.no_fresh_replica,
        )

    wait_until(is_refused, "the replica is too stale")


@then("a booking is done through the second proxy")
def book_after_heal(world):
    def is_done():
        return send(world.proxy(2), BOOK, new_key()).outcome is Outcome.done

    wait_until(is_done, "the second proxy accepts bookings again")
