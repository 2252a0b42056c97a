"""Concurrent commands of any size up to the limit are committed."""

import time

import pytest

from bench.slopes.stand_ins import Control
from godwitwheel.control import committer as committer_module
from godwitwheel.control.commands import OutcomeCommand, SetTokenKey
from godwitwheel.control.committer import (
    MAX_BATCH_BYTES,
    ROUND_PAUSE_S,
    URGENT_ROUND_PAUSE_S,
    LeadershipConfirmer,
)
from godwitwheel.control.errors import TooLarge
from godwitwheel.internal.loop import Event, sleep, spawn
from godwitwheel.wire.caller import CallerAnswer, Outcome
from godwitwheel.wire.control import OutcomeRecorded, RecordOutcome

TIMEOUT_S = 5.0
LONG_PAUSE_S = 2.0


def outcome(size, number=0):
    answer = CallerAnswer(Outcome.done, message="x" * size)
    return OutcomeCommand(RecordOutcome("kit", f"key-{number}", "a", answer), 0.0)


@pytest.mark.parametrize("size", [10, 3_000, 60_000, 240_000])
def test_commits_many_large_commands_at_once(size):
    committer = Control().member.committer
    tasks = [
        spawn(committer.commit, outcome(size, number), OutcomeRecorded, TIMEOUT_S)
        for number in range(200)
    ]
    assert [task.wait() for task in tasks] == [OutcomeRecorded(False)] * 200
    assert committer.committed == 200
    assert committer.batches < 200 or size > MAX_BATCH_BYTES / 2


def test_refuses_a_command_that_is_too_large_and_commits_the_next():
    control = Control()
    committer = control.member.committer
    with pytest.raises(TooLarge):
        committer.commit(outcome(MAX_BATCH_BYTES + 1), OutcomeRecorded, TIMEOUT_S)
    committer.commit(SetTokenKey("00"), object, TIMEOUT_S)
    assert control.state.cluster.view.token_key == "00"


class CountingLog:
    """A log whose leader is confirmed at once."""

    def __init__(self):
        self.rounds = 0

    def confirm_leadership(self, timeout_s):
        self.rounds += 1


def test_calls_of_many_proxies_share_confirmation_rounds():
    log = CountingLog()
    confirmer = LeadershipConfirmer(log)

    def confirm_repeatedly():
        for _ in range(10):
            confirmer.confirm(1.0)
            sleep(0.001)

    started_at = time.monotonic()
    tasks = [spawn(confirm_repeatedly) for _ in range(20)]
    for task in tasks:
        task.wait()
    waited_s = time.monotonic() - started_at
    assert log.rounds <= waited_s / ROUND_PAUSE_S + 1


def test_a_call_on_its_own_is_confirmed_without_a_pause(monkeypatch):
    pauses = []
    end_of_pause = Event()
    monkeypatch.setattr(
        committer_module,
        "sleep",
        lambda seconds: pauses.append(seconds) or end_of_pause.wait(),
    )
    log = CountingLog()
    confirmer = LeadershipConfirmer(log)
    confirmer.confirm(1.0)
    assert log.rounds == 1
    sleep(0)
    assert pauses == [URGENT_ROUND_PAUSE_S]
    end_of_pause.send()


def test_an_urgent_call_shortens_the_pause_before_the_next_round():
    # Otherwise the news of a promotion would wait as long as reports without any.
    log = CountingLog()
    confirmer = LeadershipConfirmer(log, LONG_PAUSE_S)
    confirmer.confirm(1.0)
    started_at = time.monotonic()
    waiting = spawn(confirmer.confirm, TIMEOUT_S)
    sleep(0)
    confirmer.confirm(TIMEOUT_S, is_urgent=True)
    waiting.wait()
    assert log.rounds == 2
    assert time.monotonic() - started_at < LONG_PAUSE_S
