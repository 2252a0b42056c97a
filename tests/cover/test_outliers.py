"""Detection and ejection of targets that fail, or are slow, unlike the others."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitwheel.decisions.exchanges import Outcome
from godwitwheel.decisions.outlier_evidence import Ejection, Reason
from godwitwheel.decisions.outliers import (
    FIRST_EJECTION_S,
    MAX_EJECTION_S,
    QUIET_S,
    TRIAL_STATEMENT_S,
    TRIAL_SUCCESSES,
    Members,
    OutlierDetector,
    Restoration,
    Stage,
)

TARGETS = ["t1", "t2", "t3"]
MEMBERS = Members(TARGETS, "t1")
KIND_S = {"view": 0.003, "search": 0.034}


class Harness:
    """A detector, with exchanges that follow each other on a manual clock."""

    def __init__(self, members=MEMBERS):
        self.detector = OutlierDetector()
        self.members = members
        self.now = 1000.0

    def exchange(self, target_id, outcome=Outcome.answered, slow=1.0, kind="view"):
        exchange = self.detector.begin(target_id, kind, 2, 0.0, self.now)
        self.now += KIND_S[kind] * slow
        return self.detector.end(exchange, outcome, self.members, self.now)

    def play(self, seconds, outcomes=None, slow=None, interval_s=0.02):
        """Runs statements at all targets in turn.

        :param outcomes: by target, called for the outcome of each exchange.
        :param slow: factor of the durations by target.
        :returns: the decisions.
        """
        ends_at = self.now + seconds
        decisions = []
        while self.now < ends_at:
            for target_id in self.members.target_ids:
                outcome = (outcomes or {}).get(target_id, lambda: Outcome.answered)()
                factor = (slow or {}).get(target_id, 1.0)
                decisions.append(self.exchange(target_id, outcome, factor))
            self.now += interval_s
        return [decision for decision in decisions if decision is not None]

    def admitted(self, candidates=None, may_try=True):
        return self.detector.admitted(
            candidates or self.members.target_ids, self.members, may_try, self.now
        )

    def eject(self, target_id):
        """Lets a target fail until it is ejected."""
        decisions = []
        while not decisions:
            decisions = self.play(0.02, {target_id: lambda: Outcome.failed})
        return decisions[0]

    def skip_to_trial(self, target_id):
        tracker = self.detector.trackers[target_id]
        self.now = max(self.now, tracker.ejected_until)

    def restore(self, target_id):
        self.skip_to_trial(target_id)
        decisions = [self.exchange(target_id) for _ in range(TRIAL_SUCCESSES)]
        assert isinstance(decisions[-1], Restoration)
        return decisions[-1]


def at_random(share, outcome, seed=1):
    source = random.Random(seed)
    return lambda: outcome if source.random() < share else Outcome.answered


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.answered])
def test_a_replica_that_fails_two_fifths_is_ejected(outcome):
    harness = Harness()
    harness.play(3.0)
    decision, *_ = harness.play(2.0, {"t2": at_random(0.4, outcome)})
    assert (decision.target_id, decision.reason) == ("t2", Reason.failing)
    assert decision.failure_rate >= 3 * decision.others_failure_rate


@pytest.mark.parametrize("factor", [5.0, 8.0])
def test_a_slow_replica_is_ejected(factor):
    harness = Harness()
    harness.play(3.0)
    decision, *_ = harness.play(2.0, slow={"t3": factor})
    assert (decision.target_id, decision.reason) == ("t3", Reason.slow)
    assert decision.slowdown > 3.0


def test_a_target_that_runs_longer_kinds_is_not_slow():
    """Kinds differ by ten times, so that only durations of one kind compare."""
    harness = Harness()
    for _ in range(300):
        decisions = [harness.exchange(each) for each in TARGETS]
        decisions.append(harness.exchange("t2", kind="search"))
        assert decisions == [None] * 4
        harness.now += 0.02


def test_a_target_with_a_queue_is_not_slow():
    """A busy primary answers later, although it runs each statement as fast."""
    harness = Harness()
    for _ in range(100):
        harness.exchange("t2")
        harness.exchange("t3")
        begun_at = harness.now
        queued = [
            harness.detector.begin("t1", "view", 2, 0.0, begun_at) for _ in range(20)
        ]
        for number, exchange in enumerate(queued):
            harness.now = begun_at + KIND_S["view"] * (1 + number // 2)
            outcome = Outcome.answered
            decision = harness.detector.end(exchange, outcome, MEMBERS, harness.now)
            assert decision is None
        harness.now += 0.02


def test_statements_that_time_out_in_a_queue_eject_no_target():
    """A target that is overloaded for a second runs each statement as fast as ever.

    Without it the others would be overloaded as well.
    """
    harness = Harness()
    harness.play(3.0)
    for _ in range(20):
        begun_at = harness.now
        queued = [
            harness.detector.begin("t1", "view", 2, 0.0, begun_at) for _ in range(20)
        ]
        for number, exchange in enumerate(queued):
            is_served = number < 4
            lasted_s = KIND_S["view"] * (1 + number // 2) if is_served else 0.1
            harness.now = begun_at + lasted_s
            outcome = Outcome.answered if is_served else Outcome.timed_out
            decision = harness.detector.end(exchange, outcome, MEMBERS, harness.now)
            assert decision is None


def test_targets_that_are_all_alike_are_not_ejected():
    """Failures and slowness of all, as with wrong statements, are no target's fault."""
    harness = Harness()
    harness.play(3.0)
    failing = {
        each: at_random(0.4, Outcome.failed, seed) for seed, each in enumerate(TARGETS)
    }
    assert harness.play(20.0, failing) == []
    assert harness.play(20.0, slow=dict.fromkeys(TARGETS, 8.0)) == []


def test_one_burst_of_failures_ejects_no_target():
    """Long statements in all slots let those that are queued time out together."""
    harness = Harness()
    harness.play(3.0)
    assert harness.play(0.2, {"t2": lambda: Outcome.timed_out}) == []
    assert harness.play(3.0) == []


def test_answers_that_say_nothing_about_health_count_for_nothing():
    """A replica that lags refuses most reads and is still healthy."""
    harness = Harness()
    harness.play(3.0)
    assert harness.play(5.0, {"t2": lambda: None}) == []


def test_a_single_target_is_never_ejected():
    harness = Harness(Members(["t1"], ""))
    assert harness.play(5.0, {"t1": lambda: Outcome.failed}) == []


def test_one_of_three_targets_is_ejected_at_most():
    harness = Harness()
    harness.play(3.0)
    failing = {each: lambda: Outcome.failed for each in ("t2", "t3")}
    for target_id in ("t2", "t3"):
        harness.play(0.6, {target_id: failing[target_id]})
    harness.play(0.3, failing)
    assert len(harness.admitted(may_try=False)) == 2


def test_the_last_target_that_can_serve_is_used_although_ejected():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t2")
    assert harness.admitted(["t2"], may_try=False) == ["t2"]


def test_an_outlying_primary_gets_reads_only_if_no_replica_can_run_them():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t1")
    assert harness.admitted(may_try=False) == ["t2", "t3"]
    assert harness.admitted(["t1"], may_try=False) == ["t1"]


def test_an_outlying_primary_keeps_no_replica_from_being_ejected():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t1")
    assert harness.eject("t3").target_id == "t3"
    assert harness.admitted(may_try=False) == ["t1", "t2"]


def test_a_trial_admits_one_statement_at_a_time():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t2")
    harness.skip_to_trial("t2")
    assert harness.admitted() == ["t2"]
    assert harness.admitted() == ["t1", "t3"]
    harness.exchange("t2")
    assert harness.admitted() == ["t2"]
    harness.now += TRIAL_STATEMENT_S
    assert harness.admitted() == ["t2"]


def test_a_read_that_failed_elsewhere_runs_at_no_target_on_trial():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t2")
    harness.skip_to_trial("t2")
    assert harness.admitted(may_try=False) == ["t1", "t3"]


def test_five_successes_in_a_row_restore_a_target():
    harness = Harness()
    harness.play(3.0)
    harness.eject("t2")
    decision = harness.restore("t2")
    assert decision.latency_s == pytest.approx(KIND_S["view"])
    assert harness.admitted() == TARGETS


def test_answers_to_statements_sent_before_the_trial_end_none():
    """Those that were under way at the ejection say nothing about the trial."""
    harness = Harness()
    harness.play(3.0)
    early = [harness.detector.begin("t2", "view", 2, 0.0, harness.now) for _ in "12345"]
    harness.eject("t2")
    harness.skip_to_trial("t2")
    for exchange in early:
        harness.detector.end(exchange, Outcome.answered, MEMBERS, harness.now)
    assert harness.detector.trackers["t2"].stage(harness.now) is Stage.trial


def test_one_slow_answer_does_not_fail_a_trial_but_two_do():
    """One in thirty statements of a healthy target takes several times as long."""
    harness = Harness()
    harness.play(3.0)
    harness.eject("t2")
    harness.skip_to_trial("t2")
    assert harness.exchange("t2", slow=7.0) is None
    assert harness.exchange("t2", slow=7.0).reason is Reason.failed_trial


def test_ejections_double_while_trials_fail_and_shorten_after_quiet_time():
    harness = Harness()
    harness.play(3.0)
    lengths_s = [harness.eject("t2").ejected_s]
    for _ in range(5):
        harness.skip_to_trial("t2")
        lengths_s.append(harness.exchange("t2", Outcome.failed).ejected_s)
    assert lengths_s == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    harness.restore("t2")
    harness.play(2 * QUIET_S, interval_s=0.1)
    assert harness.eject("t2").ejected_s == MAX_EJECTION_S / 4
    harness.restore("t2")
    harness.play(9 * QUIET_S, interval_s=0.1)
    assert harness.eject("t2").ejected_s == FIRST_EJECTION_S


@given(st.data())
def test_without_outliers_every_candidate_is_admitted(data):
    harness = Harness()
    for _ in range(data.draw(st.integers(0, 40))):
        harness.exchange(data.draw(st.sampled_from(TARGETS)))
    candidates = data.draw(st.lists(st.sampled_from(TARGETS), min_size=1, unique=True))
    assert harness.admitted(candidates, data.draw(st.booleans())) == candidates


class OutlierMachine(RuleBasedStateMachine):
    """Targets that fail, slow down, join, leave and are promoted at random times.

    :ivar on_trial: when a statement on trial was admitted, by target.
    """

    def __init__(self):
        super().__init__()
        self.harness = Harness()
        self.harness.play(3.0)
        self.on_trial = {}

    @rule(
        target_id=st.sampled_from(TARGETS),
        outcome=st.sampled_from([*Outcome, None]),
        slow=st.sampled_from([1.0, 1.0, 8.0]),
        seconds=st.floats(0.1, 1.5),
    )
    def serve(self, target_id, outcome, slow, seconds):
        decisions = self.harness.play(
            seconds, {target_id: lambda: outcome}, {target_id: slow}, interval_s=0.05
        )
        self.on_trial = {}
        for each in decisions:
            if isinstance(each, Ejection):
                assert FIRST_EJECTION_S <= each.ejected_s <= MAX_EJECTION_S

    @rule(seconds=st.floats(0.0, 10.0))
    def wait(self, seconds):
        self.harness.now += seconds

    @rule(primary_id=st.sampled_from([*TARGETS, ""]))
    def promote(self, primary_id):
        self.harness.members.primary_id = primary_id

    @rule(target_ids=st.lists(st.sampled_from(TARGETS), min_size=1, unique=True))
    def change_members(self, target_ids):
        primary_id = self.harness.members.primary_id
        self.harness.members = Members(target_ids, primary_id)

    @rule(candidates=st.lists(st.sampled_from(TARGETS), min_size=1, unique=True))
    def choose(self, candidates):
        harness = self.harness
        admitted = harness.admitted(candidates)
        assert admitted and set(admitted) <= set(candidates)
        for target_id in admitted:
            tracker = harness.detector.trackers.get(target_id)
            if tracker is None or tracker.stage(harness.now) is not Stage.trial:
                continue
            if len(admitted) < len(candidates):
                last = self.on_trial.get(target_id, harness.now - TRIAL_STATEMENT_S)
                assert harness.now - last >= TRIAL_STATEMENT_S
                self.on_trial[target_id] = harness.now

    @invariant()
    def at_most_half_are_left_out(self):
        members = self.harness.members
        left = self.harness.admitted(list(members.target_ids), may_try=False)
        assert len(left) >= len(members.target_ids) - members.max_ejected()


TestOutlierMachine = OutlierMachine.TestCase
TestOutlierMachine.settings = settings(max_examples=100, stateful_step_count=25)
