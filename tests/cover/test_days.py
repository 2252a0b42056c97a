"""What is concluded from played days: figures, differences of pairs, causes."""

import json

import pytest

from bench.days.pairs import Difference
from bench.days.process_logs import read_events
from bench.days.reports import read_report

REPORT = {
    "G": 0.8,
    "parts": [["whole day", 0.56, 0.9], ["worst windows", 0.12, 0.5]],
    "prices": [["machines", 600.0, 0.02], ["calls", 0.0, -0.0]],
    "windows": [{"name": "4", "n": 100, "worth": 0.75}],
    "breaks": {"STALE": 1},
    "fault": None,
}


def test_a_report_says_where_worth_is_lost(tmp_path):
    path = tmp_path / "report.json"
    path.write_text(json.dumps(REPORT))
    report = read_report(path)
    assert report.rules == ["STALE"]
    assert report.windows[0].start_s == 4.0
    assert report.lost_worth() == pytest.approx(
        {"whole day": 0.056, "worst windows": 0.06, "machines": 0.02}
    )


@pytest.mark.parametrize(
    ("values", "conclusion"),
    [
        ([0.01, 0.012, 0.011], "risen"),
        ([-0.01, -0.012, -0.011], "fallen"),
        ([0.03, -0.02, 0.001], "undecided"),
        ([0.05], "undecided"),
    ],
)
def test_a_difference_counts_only_beyond_twice_its_error(values, conclusion):
    # One run of a day varies by more than most changes are worth.
    assert Difference(values).conclusion() == conclusion


def test_failures_of_one_kind_have_one_cause_and_left_out_lines_count(tmp_path):
    lines = [
        {
            "message_type": "statement_failed",
            "consistency": "primary",
            "outcome": "overloaded",
            "reason": f"no primary: no lease on i-{target}",
            "lines_left_out": 3,
        }
        for target in ("6220a453c4", "b263ab9b9d")
    ]
    path = tmp_path / "day.log"
    text = [f"  {4 + i}.5 front-1 {json.dumps(line)}" for i, line in enumerate(lines)]
    path.write_text("\n".join(["played", *text, '  9.0 front-1 {"message_type"']))
    events = read_events(path)
    assert [event.at_s for event in events] == [4.5, 5.5]
    assert len({event.cause() for event in events}) == 1
    assert sum(event.occurrences() for event in events) == 8
