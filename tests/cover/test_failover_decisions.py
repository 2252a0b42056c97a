"""When a primary is replaced, and by which target."""

from godwitwheel.directory.failover import (
    Candidate,
    Observation,
    ReceivedReport,
    Verdict,
    assess,
    candidates_of,
    choose_candidate,
    observations_of,
)
from godwitwheel.directory.records import (
    DirectoryView,
    PrimaryReport,
    ProxyReport,
    TargetEntry,
)
from godwitwheel.sessions.statements import Position

SERVICE = "bookings"
LED_FOR_S = 60.0


def target(name, leaving=False):
    return TargetEntry(name, SERVICE, f"10.0.0.{name[1]}:1", "dc-1", 2, 0, leaving)


def view(leaving=False):
    targets = {"t1": target("t1", leaving), "t2": target("t2"), "t3": target("t3")}
    return DirectoryView(1, targets=targets, primaries={SERVICE: "t1"})


def sight(proxy, proven=True, age_ms=50, target_id="t1", unreachable=()):
    return Observation(proxy, target_id, proven, age_ms, list(unreachable))


def verdict(sights, led_for_s=LED_FOR_S, leaving=False, proxies=0):
    proxies = proxies or len(sights)
    return assess(SERVICE, view(leaving), sights, proxies, led_for_s).verdict


def test_a_primary_that_leads_is_kept():
    assert verdict([sight("p1"), sight("p2")]) is Verdict.keep


def test_a_primary_that_no_proxy_reaches_is_replaced_at_once():
    sights = [sight("p1", False, 300), sight("p2", False, 250)]
    assert verdict(sights) is Verdict.replace


def test_without_reports_nothing_is_replaced():
    assert verdict([]) is Verdict.keep


def test_a_few_proxies_of_many_do_not_replace_a_primary():
    sights = [sight("p1", False, 2300), sight("p2", False, 2400)]
    assert verdict(sights, proxies=7) is Verdict.keep
    assert verdict(sights, proxies=4) is Verdict.replace


def test_a_new_leader_waits_for_the_proxies_reports():
    assert verdict([sight("p1", False, 900)], led_for_s=0.5) is Verdict.keep


def test_one_proxy_of_many_that_misses_the_primary_changes_nothing():
    sights = [sight("p1", False, 5000)] + [sight(f"p{n}") for n in range(2, 6)]
    assert verdict(sights) is Verdict.keep


def test_a_large_part_that_misses_the_primary_for_long_replaces_it():
    sights = [sight(f"p{n}", False, 1500) for n in range(3)]
    sights += [sight(f"q{n}") for n in range(4)]
    assert verdict(sights) is Verdict.replace


def test_a_large_part_that_misses_the_primary_for_a_moment_waits():
    sights = [sight(f"p{n}", False, 400) for n in range(3)]
    sights += [sight(f"q{n}") for n in range(4)]
    assert verdict(sights) is Verdict.keep


def test_a_leaving_primary_is_replaced():
    assert verdict([sight("p1")], leaving=True) is Verdict.replace


def test_a_primary_that_proxies_found_is_adopted():
    found = assess(SERVICE, view(), [sight("p1", target_id="t2")], 1, LED_FOR_S)
    assert found.verdict is Verdict.adopt
    assert found.target_id == "t2"


def test_old_reports_say_nothing():
    report = ProxyReport("p1", "dc-1", 1, [PrimaryReport(SERVICE, "t1", True, 10)])
    reports = {"p1": ReceivedReport(report, 100.0)}
    assert len(observations_of(SERVICE, reports, 100.3)) == 1
    assert observations_of(SERVICE, reports, 103.0) == []


def test_the_candidate_that_received_most_is_chosen():
    behind = Candidate(target("t2"), Position(1, 8), 1, 0)
    ahead = Candidate(target("t3"), Position(1, 9), 1, 0)
    chosen = choose_candidate([behind, ahead], [sight("p1", False)], "t1")
    assert chosen is ahead


def test_a_candidate_that_as_many_proxies_miss_is_not_chosen():
    sights = [
        sight("p1", False, 2000, unreachable=["t2"]),
        sight("p2", False, 2000),
        sight("p3"),
    ]
    missed = Candidate(target("t2"), Position(1, 9), 1, 2)
    reached = Candidate(target("t3"), Position(1, 7), 1, 1)
    assert choose_candidate([missed, reached], sights, "t1") is reached


def test_a_candidate_that_did_not_answer_is_not_chosen():
    silent = Candidate(target("t2"), None, 0, 0)
    assert choose_candidate([silent], [sight("p1", False)], "t1") is None


def test_leaving_targets_are_no_candidates():
    entries = view().targets | {"t2": target("t2", leaving=True)}
    changed = DirectoryView(1, targets=entries, primaries={SERVICE: "t1"})
    assert [e.target_id for e in candidates_of(SERVICE, changed)] == ["t3"]
