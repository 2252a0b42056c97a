"""Claims and publishes: the replicated state against a model."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.control.commands import (
    Batch,
    ClaimCommand,
    OutcomeCommand,
    PublishCommand,
    Results,
)
from godwitwheel.control.state import ControlState
from godwitwheel.wire.caller import CallerAnswer, Outcome
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.control import (
    Claim,
    ClaimReply,
    ClaimStatus,
    OutcomeRecorded,
    Publish,
    PublishReply,
    PublishStatus,
    RecordOutcome,
)

START_S = 1.7e9
RETENTIONS_S = [60, 3600]
NUMBERS = st.integers(0, 3)


def uuid7(made_at: float, number: int) -> str:
    digits = f"{round(made_at * 1000):012x}7{number:03x}8{number:015x}"
    cuts = (0, 8, 12, 16, 20, 32)
    return "-".join(digits[a:b] for a, b in zip(cuts, cuts[1:], strict=False))


class StateOnALog:
    """Two replicas of the state that apply the same log.

    :meth:`reload` replaces one by a copy of the other's snapshot.
    """

    def __init__(self):
        self.state = ControlState()
        self.copy = ControlState()
        for state in (self.state, self.copy):
            state.claims.max_claims = 40
        self.index = 0

    def apply(self, command, kind):
        self.index += 1
        body = encode(Batch([command]))
        result = self.state.apply(self.index, body)
        assert self.copy.apply(self.index, body) == result
        (item,) = decode(result, Results).results
        return decode(bytes(item), kind)

    def reload(self):
        snapshot = self.state.take_snapshot()
        self.copy = ControlState()
        self.copy.load_snapshot(snapshot)
        self.copy.claims.max_claims = 40
        assert self.copy.take_snapshot() == snapshot
        self.state, self.copy = self.copy, self.state


class ClaimsMachine(RuleBasedStateMachine):
    """Attempts claim, run, record and resend; messages come late and twice."""

    def __init__(self):
        super().__init__()
        self.log = StateOnALog()
        self.now = START_S
        self.attempts = 0
        self.sent: list[Claim] = []
        self.holders: list[Claim] = []
        self.finished: set[str] = set()
        self.ran: dict[str, int] = {}
        self.recorded: dict[str, CallerAnswer] = {}
        self.released: set[str] = set()
        self.keys = ["opaque", uuid7(START_S, 1), uuid7(START_S + 30, 2)]

    def deliver(self, claim):
        command = ClaimCommand(claim, self.now)
        reply = self.log.apply(command, ClaimReply)
        if reply.status is ClaimStatus.granted:
            assert claim.attempt not in self.released, "nobody would run it"
            self.holders.append(claim)
        if reply.status is ClaimStatus.recorded:
            assert reply.answer == self.recorded[claim.key]
        return reply

    @rule(number=st.integers(0, 2), digest=st.integers(0, 9), keep=st.integers(0, 1))
    def claim(self, number, digest, keep):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        digest = "other" if digest == 9 else "usual"
        key = self.keys[number]
        claim = Claim("s", key, digest, attempt, RETENTIONS_S[keep])
        self.sent.append(claim)
        self.deliver(claim)

    @rule(data=st.data())
    def repeat_an_old_claim(self, data):
        if self.sent:
            self.deliver(data.draw(st.sampled_from(self.sent[-6:])))

    @rule(data=st.data(), outcome=st.sampled_from(list(Outcome)), reports=st.booleans())
    def finish(self, data, outcome, reports):
        waiting = [item for item in self.holders if item.attempt not in self.finished]
        if not waiting:
            return
        claim = data.draw(st.sampled_from(waiting))
        self.finished.add(claim.attempt)
        if outcome is not Outcome.not_run:
            self.ran[claim.key] = self.ran.get(claim.key, 0) + 1
        answer = CallerAnswer(outcome, message=claim.attempt)
        if reports:
            self.record(claim, answer)

    def record(self, claim, answer):
        outcome = RecordOutcome("s", claim.key, claim.attempt, answer)
        reply = self.log.apply(OutcomeCommand(outcome, self.now), OutcomeRecorded)
        if reply.recorded and answer.outcome is Outcome.not_run:
            self.released.add(claim.attempt)
        elif reply.recorded:
            assert self.recorded.setdefault(claim.key, answer) == answer

    @rule(data=st.data(), outcome=st.sampled_from(list(Outcome)))
    def outcome_of_an_attempt_without_the_claim(self, data, outcome):
        claim = Claim("s", data.draw(st.sampled_from(self.keys)), "usual", "none", 60)
        command = OutcomeCommand(
            RecordOutcome("s", claim.key, "none", CallerAnswer(outcome)), self.now
        )
        assert not self.log.apply(command, OutcomeRecorded).recorded

    @rule(seconds=st.sampled_from([-100.0, 1.0, 30.0, 70.0, 3600.0]))
    def wall_clock_moves(self, seconds):
        self.now += seconds

    @rule()
    def reload(self):
        self.log.reload()

    @invariant()
    def each_key_ran_at_most_once(self):
        assert all(count <= 1 for count in self.ran.values()), self.ran


class PublishMachine(RuleBasedStateMachine):
    """Two publishers with their own idea of the revision, who resend at any time."""

    def __init__(self):
        super().__init__()
        self.log = StateOnALog()
        self.known = [0, 0]
        self.answers: dict[str, tuple[Publish, PublishReply]] = {}
        self.accepted: list[str] = []

    def send(self, publish):
        return self.log.apply(PublishCommand(publish), PublishReply)

    @rule(publisher=st.integers(0, 1), content=NUMBERS, looks=st.booleans())
    def publish(self, publisher, content, looks):
        revision = self.log.state.revisions.configuration.revision
        if looks:
            self.known[publisher] = revision
        publish_id = f"id-{len(self.answers)}"
        publish = Publish(publish_id, self.known[publisher], f"hash-{content}", {})
        reply = self.send(publish)
        self.answers[publish_id] = (publish, reply)
        if self.known[publisher] != revision:
            winner = self.accepted[-1] if self.accepted else ""
            assert reply == PublishReply(PublishStatus.conflict, revision, winner)
        elif reply.status is PublishStatus.accepted:
            self.accepted.append(publish_id)
            assert reply.revision == revision + 1 == len(self.accepted)

    @rule(data=st.data(), other=st.booleans())
    def resend(self, data, other):
        if not self.answers:
            return
        publish, first = data.draw(st.sampled_from(list(self.answers.values())))
        if not other:
            assert self.send(publish) == first
            return
        changed = Publish(publish.publish_id, publish.expected_revision, "new", {})
        assert self.send(changed).status is PublishStatus.id_reused

    @rule()
    def reload(self):
        self.log.reload()

    @invariant()
    def only_accepted_publishes_count(self):
        revisions = self.log.state.revisions
        assert revisions.configuration.revision == len(self.accepted)
        assert revisions.publish_id == (self.accepted[-1] if self.accepted else "")


LIMITS = settings(max_examples=60, stateful_step_count=40)


def test_a_key_is_run_by_at_most_one_attempt():
    run_state_machine_as_test(ClaimsMachine, settings=LIMITS)


def test_publishers_with_equal_revisions_get_one_winner_and_stable_answers():
    run_state_machine_as_test(PublishMachine, settings=LIMITS)


def test_a_full_table_refuses_new_keys_and_keeps_old_ones():
    log = StateOnALog()
    log.state.claims.max_claims = log.copy.claims.max_claims = 1
    for key, status in (("a", "granted"), ("b", "full"), ("a", "granted")):
        command = ClaimCommand(Claim("s", key, "d", "attempt", 60), START_S)
        assert log.apply(command, ClaimReply).status == status


def test_a_longer_retention_does_not_revive_an_expired_key():
    log = StateOnALog()
    key = uuid7(START_S, 1)
    claims = ((0, 60, "granted"), (61, 60, "expired"), (62, 3600, "expired"))
    for passed, retention, status in claims:
        claim = Claim("s", key, "d", f"attempt-{passed}", retention)
        command = ClaimCommand(claim, START_S + passed)
        assert log.apply(command, ClaimReply).status == status


def test_a_late_claim_of_an_earlier_attempt_is_not_granted():
    log = StateOnALog()
    first = Claim("s", "opaque", "usual", "a1", 60)
    second = Claim("s", "opaque", "usual", "a2", 60)
    not_run = CallerAnswer(Outcome.not_run)
    for claim in (first, second):
        granted = log.apply(ClaimCommand(claim, START_S), ClaimReply)
        assert granted.status is ClaimStatus.granted
        released = RecordOutcome("s", claim.key, claim.attempt, not_run)
        log.apply(OutcomeCommand(released, START_S), OutcomeRecorded)
    log.reload()
    late = log.apply(ClaimCommand(first, START_S), ClaimReply)
    assert late.status is ClaimStatus.pending
