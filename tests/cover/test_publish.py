"""Invalid service files are not published; a resend does not publish twice."""

import contextlib
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from godwitwheel.publish import control_client
from godwitwheel.publish.collect import collect_services
from godwitwheel.publish.control_client import ControlClient
from godwitwheel.publish.errors import (
    ControlUnreachable,
    InvalidServiceFiles,
    OutcomeUnknown,
    PublishRefused,
)
from godwitwheel.publish.publisher import Publisher
from godwitwheel.publish.service_file import ServiceFile, read_service_file
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import (
    ControlProblem,
    InForce,
    NotLeading,
    PublishReply,
    PublishStatus,
)
from godwitwheel.wire.errors import ErrorReply, NoReply, NotSent
from godwitwheel.wire.service import Access, RequestRule, Service

VALID = 'service = "kit"\n[defaults]\ngroup = "kits"\n'
NAMES = st.from_regex(r"[a-z][a-z0-9._-]{0,8}", fullmatch=True)
RULES = st.builds(RequestRule, NAMES, st.just(Access.read), st.integers(0, 86_400_000))
RULES |= st.builds(RequestRule, NAMES, st.just(Access.write), st.just(0), st.booleans())


def write_file(folder, text, name="a"):
    path = folder / f"{name}.godwitwheel.toml"
    path.write_text(text)
    return path


def render(service):
    """Returns the text of the file that declares a service."""
    lines = [
        f'service = "{service.name}"',
        f'key_retention = "{service.key_retention_s}s"',
    ]
    for table, access in (("reads", Access.read), ("writes", Access.write)):
        lines.append(f"[{table}]")
        for name, rule in service.requests.items():
            if rule.access is access:
                last = f'max_staleness = "{rule.max_staleness_ms}ms"'
                if access is Access.write:
                    last = f"repeatable = {str(rule.repeatable).lower()}"
                lines.append(f'"{name}" = {{ group = "{rule.group}", {last} }}')
    return "\n".join(lines)


@given(
    st.builds(
        Service,
        NAMES,
        st.dictionaries(NAMES, RULES, min_size=1),
        st.integers(60, 604_800),
    )
)
def test_reads_back_what_a_file_declares(tmp_path_factory, service):
    folder = tmp_path_factory.mktemp("files")
    write_file(folder, render(service))
    assert collect_services([str(folder)]) == {service.name: service}


@pytest.mark.parametrize(
    "text, expected",
    [
        ("service = x", "expected TOML in UTF-8: Invalid value (at line 1, column 11)"),
        ("service = 5", "service: got 5, expected `str`, got `int`"),
        ("[reads]\na = {}", "expected the key service"),
        (VALID, "expected at least one request"),
        (VALID + "x = 1\n[reads]\na = {}", "defaults.x: got 1, expected no such key"),
        (VALID + "[reads]\na = 3", "reads.a: got 3, expected `object`"),
        (VALID + "[reads]\na = {repeatable = true}", "reads.a.repeatable: got True"),
        (VALID + "[reads]\nA = {}", "reads.A: got 'A', expected 1 to 63 characters"),
        (VALID + "[reads]\na = {max_staleness = '2 s'}", "got '2 s', expected a dur"),
        (VALID + "[reads]\na = {max_staleness = '2d'}", "from 0s to 1d"),
        (VALID + "[writes]\na = {}", "writes.a: got {}, expected the key repeatable"),
        (VALID + "[writes]\na = {repeatable = 'no'}", "writes.a.repeatable: got 'no'"),
        (
            VALID + "[writes]\na = {repeatable = true, max_staleness = '1s'}",
            "writes.a.max_staleness: got '1s', expected no such key",
        ),
        (VALID + "[reads]\na={}\n[writes]\na={repeatable=true}", "a name not in reads"),
        ("service = 'kit'\n[reads]\na = {}", "expected a group here or in defaults"),
        ("service = 'kit'\nkey_retention = '1s'\n[reads]\na = {group='g'}", "1m to 7d"),
    ],
)
def test_rejects_a_file_and_names_key_and_value(text, expected, tmp_path):
    path = write_file(tmp_path, text)
    with pytest.raises(InvalidServiceFiles) as caught:
        collect_services([str(tmp_path)])
    (problem,) = caught.value.problems
    assert problem.startswith(f"{path}: ")
    assert expected in problem


TOKENS = (
    "service key_retention defaults reads writes group max_staleness repeatable a "
    "true 1s 9d kits '' 7 -1 1e999 1979-05-27 [] {} = , . [ ] { } \n \0"
)
WORDS = st.sampled_from(TOKENS.split())
HOSTILE = st.lists(WORDS, max_size=40).map(lambda words: " ".join(words).encode())
HOSTILE |= st.binary(max_size=60).map(lambda tail: VALID.encode() + tail)
LEAVES = st.none() | st.integers() | st.text(max_size=5) | st.booleans() | st.floats()
TABLES = st.recursive(
    LEAVES, lambda inner: st.dictionaries(NAMES, inner, max_size=2), max_leaves=4
)


@given(HOSTILE)
@example(b"service = " + b"9" * 5_000)
@example(b"service = " + b"[" * 100_000)
def test_hostile_files_are_refused_by_name(tmp_path_factory, content):
    path = tmp_path_factory.mktemp("files") / "x.godwitwheel.toml"
    path.write_bytes(content)
    with contextlib.suppress(InvalidServiceFiles):
        assert read_service_file(path).requests


@given(st.sampled_from(["defaults", "reads", "writes"]), NAMES, TABLES)
def test_hostile_tables_are_refused_by_name(table, name, content):
    raw = {"service": "kit", "reads": {"a": {"group": "b"}}}
    raw[table] = {**raw.get(table, {}), name: content}
    with contextlib.suppress(InvalidServiceFiles):
        assert ServiceFile(Path("x")).check(raw).requests


def test_names_every_fault_of_a_set(tmp_path):
    inner = tmp_path / "inner"
    inner.mkdir()
    write_file(inner, VALID + "[reads]\na = {}")
    write_file(inner, VALID + "[reads]\nb = {}", "twin")
    write_file(tmp_path, VALID + "[reads]\na = {x = 1}\nb = {y = 2}", "bad")
    missing = str(tmp_path / "none")
    with pytest.raises(InvalidServiceFiles) as caught:
        collect_services([str(tmp_path), str(inner), missing])
    text = "\n".join(caught.value.problems)
    for part in ("reads.a.x", "reads.b.y", "declares too", f"{missing}: expected"):
        assert part in text
    assert len(caught.value.problems) == 4


class FakeControl:
    """A fake of the wire client and of the control cell that it calls.

    :ivar faults: faults of the next calls, in order; later calls succeed.
    """

    def __init__(self, faults):
        self.faults = list(faults)
        self.answers = {}
        self.revision = 7

    def call(self, address, path, message, reply, timeout_s):
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unreachable":
            raise NotSent(address)
        if fault == "lost_before":
            raise NoReply(address)
        if address != "leader" or fault == "no_leader":
            named = "" if fault == "no_leader" else "leader"
            raise ErrorReply(421, encode(NotLeading(named)))
        if fault == "refused":
            raise ErrorReply(400, encode(ControlProblem("too many services")))
        answer = self.answer(path, message)
        if fault == "lost_after":
            raise NoReply(address)
        if fault == "failed_after":
            raise ErrorReply(500, b"")
        return answer

    def answer(self, path, message):
        if path == "/v1/in-force":
            return InForce(self.revision, "", "", {"p1": self.revision})
        if message.publish_id not in self.answers:
            status = PublishStatus.conflict
            if message.expected_revision == self.revision:
                self.revision += 1
                status = PublishStatus.accepted
            reply = PublishReply(status, self.revision, "other")
            self.answers[message.publish_id] = reply
        return self.answers[message.publish_id]


FAULTS = ["", "unreachable", "lost_before", "lost_after", "failed_after", "no_leader"]


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(control_client, "RETRY_DELAY_S", 0.0)


def publisher(control, limit_s=60.0):
    members = ["first", "leader", "third"]
    return Publisher(
        ControlClient(members, control, limit_s), "id-1", lambda line: None
    )


@given(st.lists(st.sampled_from(FAULTS), max_size=12))
def test_publishes_once_whatever_answers_are_lost(faults):
    control = FakeControl(faults)
    reply = publisher(control).publish({})
    assert reply == PublishReply(PublishStatus.accepted, 8, "other")
    assert control.revision == 8


@pytest.mark.parametrize(
    "faults, error",
    [
        (["unreachable", "no_leader"] * 10_000, ControlUnreachable),
        (["", "", "lost_after"] + ["unreachable"] * 20_000, OutcomeUnknown),
        (["", "", "refused"], PublishRefused),
    ],
)
def test_raises_the_error_that_matches_the_failure(faults, error):
    with pytest.raises(error):
        publisher(FakeControl(faults), limit_s=0.05).publish({})


def test_waits_until_every_live_proxy_acts_on_the_revision():
    control = FakeControl([])
    assert publisher(control).wait_in_force(7, 0.0)
    assert not publisher(control).wait_in_force(8, 0.0)


@pytest.mark.parametrize(
    "folder, services",
    [
        ("examples", {"hangar-ledger", "db-kit"}),
        ("bench/services/ferreira", {"hangar-ledger", "crew-orders"}),
        ("bench/services/small", {"hangar-ledger", "crew-orders"}),
        ("bench/services/agency", {"db-kit", "delivery-tracking"}),
    ],
)
def test_example_files_are_valid(folder, services):
    root = Path(__file__).parent.parent.parent
    assert set(collect_services([str(root / folder)])) == services
