"""Operators see what each process runs, and where processes run different builds."""

import json
import os
import platform
import shutil

from godwitwheel import __version__
from godwitwheel.directory.build_reports import BuildReporter
from godwitwheel.directory.builds import FleetBuilds
from godwitwheel.directory.metrics import DirectoryMetrics
from godwitwheel.directory.report_timing import (
    BUILD_EXPIRY_S,
    BUILD_REPORT_INTERVAL_S,
)
from godwitwheel.observe.build import (
    PACKAGE_FOLDER,
    Build,
    digest_of_sources,
    running_build,
)
from godwitwheel.observe.events import record_start
from godwitwheel.observe.log import process_log
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.wire.status import NOT_FOUND
from tests.common.fleet import ADDRESSES, Fleet


def test_the_first_line_of_a_log_says_what_runs(tmp_path):
    # Nothing told a fault of the code from one of old code or other libraries.
    path = tmp_path / "log.txt"
    with process_log(str(path), "p1", "front", "dc-1"):
        record_start(ip="10.0.0.1")
    line = json.loads(path.read_text())
    assert line["message_type"] == "process_started"
    assert line["version"] == __version__
    assert line["sources"] == digest_of_sources([PACKAGE_FOLDER])
    assert line["python"] == f"cpython-{platform.python_version()}"
    assert line["machine"] == os.uname().machine
    assert line["libraries"]["msgspec"]


def test_a_metric_says_what_runs():
    page = ProcessMetrics("p1", "front").render().decode()
    (line,) = [line for line in page.splitlines() if "build_info{" in line]
    for value in (running_build().sources, platform.python_version(), "msgspec=="):
        assert value in line


def test_a_changed_source_changes_the_digest_and_another_folder_does_not(tmp_path):
    copy = tmp_path / "copy"
    shutil.copytree(PACKAGE_FOLDER, copy)
    assert digest_of_sources([copy]) == digest_of_sources([PACKAGE_FOLDER])
    path = copy / "wire" / "streams.py"
    size = path.stat().st_size
    changed = path.read_bytes().replace(b"CR LF", b"LF CR", 1)
    path.write_bytes(changed)
    assert path.stat().st_size == size
    assert digest_of_sources([copy]) != digest_of_sources([PACKAGE_FOLDER])


def test_each_part_of_a_build_makes_a_difference():
    parts = ("0.1", "abc", "cpython-3.11.6", "aarch64", {"msgspec": "1"})
    others = ("0.2", "abd", "cpython-3.12.1", "x86_64", {"msgspec": "2"})
    summaries = {Build(*parts).summary()}
    for index, other in enumerate(others):
        changed = [*parts[:index], other, *parts[index + 1 :]]
        summaries.add(Build(*changed).summary())
    assert len(summaries) == len(parts) + 1


def test_a_process_that_is_gone_counts_no_longer():
    builds = FleetBuilds()
    builds.record("p1", "old", 100.0)
    builds.record("p2", "new", 100.0)
    builds.record("p3", "", 100.0)
    assert builds.take_change(100.0) == {"old": ["p1"], "new": ["p2"]}
    assert builds.take_change(100.0) is None
    later = 100.0 + BUILD_EXPIRY_S + 1.0
    builds.record("p2", "new", later)
    assert builds.take_change(later) == {"new": ["p2"]}


def test_the_leader_shows_which_processes_run_another_build(monkeypatch):
    # A cell whose processes run different code looked like any other.
    fleet = Fleet(7)
    other = fleet.processes()[0].reporter
    monkeypatch.setattr(type(other), "_build_to_report", build_of(other))
    fleet.run(1.0)
    leader = fleet.leader.member
    BuildReporter(leader, None, "member-1").step()
    by_build = leader.builds.processes_by_build(fleet.clock.now())
    assert by_build.pop("other build") == [other.proxy_id]
    (same,) = by_build.values()
    assert len(same) == len(fleet.processes())
    monkeypatch.setattr(leader.log, "voter_count", lambda: 3, raising=False)
    page = DirectoryMetrics("member-1", leader).render().decode()
    assert 'processes_by_build{build="other build",' in page


def build_of(other):
    def build_to_report(reporter, now):
        return "other build" if reporter is other else running_build().summary()

    return build_to_report


def test_a_member_tells_the_leader_what_it_runs():
    fleet = Fleet(7)
    follower = fleet.members[ADDRESSES[1]].member
    client = fleet.processes()[0].client
    reporter = BuildReporter(follower, client, "member-2")
    reporter.step()
    now = fleet.clock.now()
    (ids,) = fleet.leader.member.builds.processes_by_build(now).values()
    assert ids == ["member-2"]
    assert reporter.notice.given_at == now


def test_a_leader_without_the_route_is_not_asked_each_second():
    # A member of this version asked a leader of an earlier one again each second.
    fleet = Fleet(7)
    follower = fleet.members[ADDRESSES[1]].member
    earlier_leader = EarlierLeader()
    reporter = BuildReporter(follower, earlier_leader, "member-2")
    reporter.step()
    fleet.clock.advance(BUILD_REPORT_INTERVAL_S / 2)
    reporter.step()
    assert earlier_leader.calls == 1
    fleet.clock.advance(BUILD_REPORT_INTERVAL_S / 2)
    reporter.step()
    assert earlier_leader.calls == 2


class EarlierLeader:
    """A client whose peer knows no route for builds."""

    def __init__(self):
        self.calls = 0

    def exchange(self, address, method, path, body, timeout_s):
        self.calls += 1
        return NOT_FOUND, b""


def test_reports_name_the_build_only_at_times():
    # The name is longer than most reports.
    fleet = Fleet(7)
    reporter = fleet.processes()[0].reporter
    assert reporter.build().build == running_build().summary()
    # The first report may be redirected to the leader.
    assert reporter.report() or reporter.report()
    assert reporter.build().build == ""
    fleet.clock.advance(BUILD_REPORT_INTERVAL_S)
    assert reporter.build().build
