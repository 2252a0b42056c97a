"""The check after a run finds every kind of wrong answer and accepts correct ones."""

import pytest

from bench.ledger_check import check
from bench.records import Ending, RequestKind, RequestRecord


def record(**changes):
    fields = {
        "kind": RequestKind.write,
        "group": "g",
        "caller": "ana",
        "key": "k1",
        "proxy": "p",
        "arrived_at": 1.0,
        "sent_at": 1.0,
        "answered_at": 2.0,
        "ending": Ending.done,
        "keys": ["k1"],
        "entry_id": 1,
    }
    return RequestRecord(**{**fields, **changes})


WRITE = record()
PAIR = record(entries=2, keys=["k1", "k1/2"])
REFUSED = record(ending=Ending.not_run, keys=[], entry_id=0)
LOST_ANSWER = record(ending=Ending.no_answer, keys=[], entry_id=0)
REPLAY = record(replayed=True, sent_at=3.0, answered_at=4.0)
READ = record(kind=RequestKind.own_read, key="r", sent_at=3.0, answered_at=4.0)
SHARED = record(
    kind=RequestKind.shared_read, key="r", sent_at=3.0, max_staleness_ms=500, keys=[]
)
READ_WITHOUT_OWN_WRITE = record(
    kind=RequestKind.own_read, key="r", sent_at=3.0, keys=[]
)
STALE_SHARED = record(kind=RequestKind.shared_read, key="r", sent_at=3.0, entry_id=0)
ONCE = [(1, "k1")]


@pytest.mark.parametrize(
    "records, rows",
    [
        ([WRITE, READ, SHARED], ONCE),
        ([PAIR], [(1, "k1"), (2, "k1/2")]),
        ([LOST_ANSWER, REPLAY], ONCE),
        ([LOST_ANSWER], []),
        ([LOST_ANSWER], ONCE),
        ([REFUSED], []),
        ([REFUSED, LOST_ANSWER], ONCE),
        ([WRITE, record(kind=RequestKind.own_read, key="r", keys=[])], ONCE),
    ],
)
def test_accepts_correct_answers(records, rows):
    assert check(records, {"g": rows}).faults() == {}


@pytest.mark.parametrize(
    "fault, records, rows",
    [
        ("lost", [WRITE], []),
        ("lost", [WRITE], [(7, "k1")]),
        ("doubled", [LOST_ANSWER], [(1, "k1"), (2, "k1")]),
        ("doubled", [WRITE, REPLAY], [(1, "k1"), (2, "k1")]),
        ("wrongly_refused", [REFUSED], ONCE),
        ("torn", [PAIR], ONCE),
        ("torn", [record(entries=2, ending=Ending.unknown)], [(1, "k1/2")]),
        ("mixed", [record(faults=["answer of another request"])], ONCE),
        ("missed_own", [WRITE, READ_WITHOUT_OWN_WRITE], ONCE),
        ("stale", [WRITE, STALE_SHARED], ONCE),
    ],
)
def test_finds_a_wrong_answer(fault, records, rows):
    assert fault in check(records, {"g": rows}).faults()
