"""Sessions on a failing group, checked against the outcomes that callers received."""

from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.sessions.statements import ErrorCode, TransactionState
from godwitwheel.wire.service import Access
from tests.common.fake_sessions import (
    FakeGroup,
    begin,
    commit,
    execute,
    prepare,
    read,
    rollback,
    set_value,
    write,
)

STALENESS_S = 1.5
SESSIONS = st.integers(0, 3)
TARGETS = st.sampled_from(["t1", "t2", "t3"])
# Errors that guarantee that none of the writes takes effect.
NO_EFFECT_CODES = {
    ErrorCode.overloaded,
    ErrorCode.aborted,
    ErrorCode.lagging,
    ErrorCode.read_only,
}


class ReportedOutcome:
    """The outcome that one caller received for a write or a transaction.

    :ivar writes: request ids of the writes that commit together.
    :ivar acknowledged_at: when their success was reported, or ``None``.
    :ivar is_refused: whether none of them may take effect.
    """

    def __init__(self, session, writes):
        self.session = session
        self.writes = writes
        self.acknowledged_at = None
        self.is_refused = False


class SessionsMachine(RuleBasedStateMachine):
    """Callers, targets that fail, and promotions that lose the latest commits.

    :ivar reported: the outcomes so far.
    :ivar session_by_request: numbers of the sessions that sent statements, by request
        id, until a check has seen the statement run.
    """

    def __init__(self):
        super().__init__()
        self.group = FakeGroup()
        self.patches = [
            mock.patch(
                f"godwitwheel.sessions.running.{module}.sleep", self.group.clock.advance
            )
            for module in ("single_run", "transaction", "opening")
        ]
        for patch in self.patches:
            patch.start()
        kinds = [*Consistency, Consistency.primary]
        self.kinds = [kind.value for kind in kinds]
        self.sessions = [self.group.session(kind) for kind in self.kinds]
        self.values = [{} for _ in kinds]
        self.shapes = [{} for _ in kinds]
        self.open_writes = [[] for _ in kinds]
        self.began_at = [0.0 for _ in kinds]
        self.reported: list[ReportedOutcome] = []
        self.ids = 0
        self.session_by_request: dict[str, int] = {}
        self.ask_all()

    def teardown(self):
        for patch in self.patches:
            patch.stop()

    def new_id(self, number):
        self.ids += 1
        request_id = f"q{self.ids}"
        self.session_by_request[request_id] = number
        return request_id

    def history(self):
        return [commit.request_id for commit in self.group.primary.log]

    # Callers.

    @rule(number=SESSIONS, name=st.sampled_from("ab"), value=st.sampled_from("xy"))
    def set_a_value(self, number, name, value):
        if self.sessions[number].execute(set_value(name, value)).error is None:
            self.values[number][name] = value

    @rule(
        number=SESSIONS,
        access=st.sampled_from(list(Access)),
        shape=st.sampled_from(["q1", "q2"]),
    )
    def prepare_a_statement(self, number, access, shape):
        answer = self.sessions[number].execute(prepare("s1", access, shape))
        if answer.error is None:
            self.shapes[number]["s1"] = (access, shape)

    @rule(number=SESSIONS, read_only=st.booleans())
    def begin_a_transaction(self, number, read_only):
        answer = self.sessions[number].execute(begin(self.new_id(number), read_only))
        if answer.error is None:
            self.open_writes[number] = []
            self.began_at[number] = None

    @rule(number=SESSIONS)
    def write_an_item(self, number):
        self.run(number, write(self.new_id(number)), True)

    @rule(number=SESSIONS)
    def read_an_item(self, number):
        self.run(number, read(self.new_id(number)), False)

    @rule(number=SESSIONS)
    def execute_a_statement(self, number):
        prepared = self.shapes[number].get("s1")
        is_write = prepared is not None and prepared[0] is Access.write
        self.run(number, execute(self.new_id(number), "s1"), is_write)

    @rule(number=SESSIONS)
    def commit_a_transaction(self, number):
        session = self.sessions[number]
        if session.transaction is None:
            return
        result = ReportedOutcome(number, self.open_writes[number])
        self.open_writes[number] = []
        answer = session.execute(commit(self.new_id(number)))
        assert answer.state is TransactionState.idle
        self.add_outcome(result, answer)

    @rule(number=SESSIONS)
    def roll_a_transaction_back(self, number):
        if self.sessions[number].transaction is None:
            return
        result = ReportedOutcome(number, self.open_writes[number])
        result.is_refused = True
        self.reported.append(result)
        self.open_writes[number] = []
        self.sessions[number].execute(rollback(self.new_id(number)))

    @rule(number=SESSIONS)
    def write_and_read(self, number):
        self.run(number, write(self.new_id(number)), True)
        self.run(number, read(self.new_id(number)), False)

    @rule(writer=SESSIONS, number=SESSIONS, seconds=st.sampled_from([0.0, 1.6]))
    def write_and_read_elsewhere(self, writer, number, seconds):
        self.run(writer, write(self.new_id(writer)), True)
        self.group.clock.advance(seconds)
        self.ask_all()
        self.run(number, read(self.new_id(number)), False)

    @rule(number=SESSIONS, read_only=st.booleans(), loses=st.booleans())
    def a_whole_transaction(self, number, read_only, loses):
        if self.sessions[number].transaction is not None:
            return
        self.begin_a_transaction(number, read_only)
        self.run(number, read(self.new_id(number)), False)
        if not read_only:
            self.run(number, write(self.new_id(number)), True)
        if loses:
            self.group.primary.lost_answers = 1
        self.commit_a_transaction(number)

    @rule(name=TARGETS, number=SESSIONS)
    def promote_and_read(self, name, number):
        """The former primary holds all earlier commits and none of the later ones."""
        self.group.replicate_all()
        self.group.promote(name)
        writer = self.group.session("primary")
        Sampler(writer.context).probe(self.group.board.view.targets[name])
        self.commit_through_another_proxy()
        self.run(number, read(self.new_id(number)), False)

    def commit_through_another_proxy(self):
        """Commits a write that this proxy can't know of."""
        self.ids += 1
        result = ReportedOutcome(-1, [f"q{self.ids}"])
        self.group.commit(f"q{self.ids}")
        result.acknowledged_at = self.group.clock.now()
        self.reported.append(result)

    @rule(name=TARGETS, number=SESSIONS)
    def promote_elsewhere_and_read(self, name, number):
        """This proxy has received no information about the promotion."""
        self.group.replicate_all()
        self.group.promote(name)
        self.commit_through_another_proxy()
        self.run(number, read(self.new_id(number)), False)

    def ask_all(self):
        for entry in self.group.board.view.targets.values():
            Sampler(self.group.context).probe(entry)

    def run(self, number, statement, is_write):
        session = self.sessions[number]
        # Gives the statement a later start time than every earlier outcome.
        self.group.clock.advance(0.001)
        started_at = self.group.clock.now()
        in_transaction = session.transaction is not None
        if in_transaction and self.began_at[number] is None:
            self.began_at[number] = started_at
        answer = session.execute(statement)
        if in_transaction and answer.state is TransactionState.failed:
            refused = ReportedOutcome(number, self.open_writes[number])
            refused.is_refused = True
            self.reported.append(refused)
            self.open_writes[number] = []
        if is_write and in_transaction:
            if answer.error is None:
                self.open_writes[number].append(statement.request_id)
        elif is_write:
            self.add_outcome(ReportedOutcome(number, [statement.request_id]), answer)
        elif answer.error is None:
            first_byte = self.began_at[number] if in_transaction else started_at
            self.check_read(number, answer, first_byte)

    def add_outcome(self, result, answer):
        if answer.error is None:
            result.acknowledged_at = self.group.clock.now()
        result.is_refused = answer.error in NO_EFFECT_CODES
        self.reported.append(result)

    def check_read(self, number, answer, first_byte):
        seen = set(answer.rows[0].decode().split(","))
        kind = self.kinds[number]
        kept = set(self.history())
        for result in self.reported:
            if result.acknowledged_at is None or result.acknowledged_at >= first_byte:
                continue
            is_own = result.session == number and kind == "read_your_writes"
            is_old = result.acknowledged_at <= first_byte - STALENESS_S
            if kind == "primary" or is_own or is_old:
                assert kept.intersection(result.writes) <= seen, (kind, result.writes)

    # Targets.

    @rule(name=TARGETS)
    def replicate(self, name):
        self.group.replicate(name)

    @rule(name=TARGETS, known=st.booleans())
    def promote(self, name, known):
        self.group.promote(name)
        if known:
            version = self.group.board.view.version + 1
            self.group.board.apply_view(self.group.view(version))

    @rule(name=TARGETS)
    def look_for_the_primary(self, name):
        Sampler(self.group.context).probe(self.group.board.view.targets[name])

    @rule(name=TARGETS, count=st.integers(1, 3))
    def lose_answers(self, name, count):
        self.group.targets[name].lost_answers = count

    @rule(name=TARGETS, count=st.integers(1, 4))
    def be_busy(self, name, count):
        self.group.targets[name].busy_answers = count

    @rule(name=TARGETS, dark=st.booleans())
    def go_dark(self, name, dark):
        self.group.targets[name].is_unresponsive = dark

    @rule()
    def recover(self):
        for target in self.group.targets.values():
            target.is_unresponsive = False
            target.lost_answers = 0
            target.busy_answers = 0
        self.group.clock.advance(3.0)
        self.ask_all()

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0]))
    def wait(self, seconds):
        self.group.clock.advance(seconds)

    # What must hold.

    @invariant()
    def no_write_takes_effect_twice(self):
        history = self.history()
        assert len(set(history)) == len(history)

    @invariant()
    def nothing_refused_is_kept(self):
        kept = set(self.history())
        for result in self.reported:
            if result.is_refused:
                assert not kept.intersection(result.writes), result.writes

    @invariant()
    def statements_ran_with_what_their_session_had_set_up(self):
        for run in self.group.runs():
            number = self.session_by_request.pop(run.request_id, None)
            if number is None:
                continue
            assert run.values == self.values[number]
            if run.shape is not None:
                assert run.shape == self.shapes[number]["s1"]


def test_sessions_keep_their_promises():
    run_state_machine_as_test(
        SessionsMachine, settings=settings(max_examples=200, stateful_step_count=40)
    )
