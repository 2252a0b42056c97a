"""The timeline merges logs in order and counts malformed lines."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.cli.main import run_command
from godwitwheel.observe.timeline import TimelineFilter, read_timeline

FAILOVER = [
    ("c1", 0.0, "primary_lost", {"group": "bays", "target": "bays-1"}),
    ("c1", 0.002, "group_fenced", {"group": "bays", "version": 9}),
    ("p1", 0.005, "view_in_force", {"version": 9}),
    ("c1", 0.4, "leases_out", {"group": "bays"}),
    ("c1", 0.41, "target_promoted", {"group": "bays", "target": "bays-2", "term": 2}),
    ("c1", 0.45, "writes_accepted", {"group": "bays", "term": 2}),
    ("c1", 0.5, "ack_set_changed", {"group": "orders", "members": ["a b"]}),
]


def line(process, time, event, fields, sequence=1):
    role = "proxy" if process.startswith("p") else "control"
    return json.dumps(
        {"timestamp": 1.7e9 + time, "message_type": event, "process_id": process}
        | {"role": role, "data_centre": "melilla", "pid": 7, "sequence": sequence}
        | {"task_uuid": "x", "task_level": [1], **fields}
    )


@pytest.fixture
def logs(tmp_path):
    for process in ("p1", "c1"):
        lines = [line(*event) for event in FAILOVER if event[0] == process]
        (tmp_path / f"{process}.log").write_text("\n".join(lines) + '\n{"timest')
    return str(tmp_path)


def show(arguments, capsys):
    assert run_command(["timeline", *arguments], {}) == 0
    return capsys.readouterr()


def test_shows_a_failover_in_order_with_its_gap(logs, capsys):
    output = show([logs], capsys)
    lines = output.out.splitlines()
    assert [text.split()[6] for text in lines] == [event[2] for event in FAILOVER]
    assert lines[0].startswith("2023-11-14 22:13:20.000    +0.000 control c1 (melilla)")
    assert lines[5].endswith("group=bays term=2 gap_s=0.45")
    assert lines[6].endswith('members=["a b"]')
    assert "p1.log: 1 lines are no events" in output.err


def test_filters_by_event_group_and_process(logs, capsys):
    output = show(["--group", "orders", "--json", "true", logs], capsys).out
    assert json.loads(output)["message_type"] == "ack_set_changed"
    assert "view_in_force" in show([logs, "--process", "p1"], capsys).out
    both = show([logs, "--event", "leases_out,group_fenced"], capsys).out
    assert len(both.splitlines()) == 2
    assert run_command(["timeline", logs, "--event", "lease_out"], {}) == 2
    assert "expected one of" in capsys.readouterr().err


@given(
    st.lists(st.lists(st.floats(-5, 5), max_size=8), max_size=4),
    st.randoms(use_true_random=False),
)
def test_keeps_each_process_in_order(tmp_path_factory, steps, random: random.Random):
    folder = tmp_path_factory.mktemp("logs")
    for number, times in enumerate(steps):
        lines = [
            line(f"p{number}", time, "lease_lost", {}, sequence)
            for sequence, time in enumerate(times)
        ]
        torn = "".join(
            text + random.choice(["\n", "\n\n", "\n[1]\n"]) for text in lines
        )
        (folder / f"{number}.log").write_text(torn)
    events = read_timeline([str(folder)], TimelineFilter()).events
    assert [event.time for event in events] == sorted(event.time for event in events)
    for number, times in enumerate(steps):
        mine = [e for e in events if e.line.process_id == f"p{number}"]
        assert [e.line.sequence for e in mine] == list(range(len(times)))
