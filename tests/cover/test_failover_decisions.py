"""When a primary is replaced, and by which target."""

from godwitwheel.directory.candidates import (
    AsynchronousRule,
    Candidate,
    Replacement,
)
from godwitwheel.directory.failover import (
    Observation,
    ReceivedReport,
    Verdict,
    assess,
    observations_by_service,
)
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.records import (
    DirectoryView,
    PrimaryReport,
    ProxyReport,
    TargetEntry,
)
from godwitwheel.directory.report_timing import PRIMARY_LEASE_S
from godwitwheel.sessions.statements import Position

SERVICE = "bookings"
LED_FOR_S = 60.0


def target(name, leaving=False):
    return TargetEntry(name, SERVICE, f"10.0.0.{name[1]}:1", "dc-1", 2, 0, leaving)


def view(leaving=False):
    targets = {"t1": target("t1", leaving), "t2": target("t2"), "t3": target("t3")}
    return DirectoryView(1, targets=targets, primaries={SERVICE: "t1"})


def observation(proxy, confirmed=True, age_ms=50, target_id="t1", unreachable=()):
    return Observation(proxy, target_id, confirmed, age_ms, list(unreachable))


def verdict(observations, led_for_s=LED_FOR_S, leaving=False, proxies=0):
    proxies = proxies or len(observations)
    return assess(SERVICE, view(leaving), observations, proxies, led_for_s).verdict


def choose_candidate(candidates, observations, primary_id):
    replacement = Replacement(candidates, observations, primary_id)
    return AsynchronousRule().choose(replacement)


def test_a_confirmed_primary_is_kept():
    assert verdict([observation("p1"), observation("p2")]) is Verdict.keep


def test_a_primary_that_no_proxy_confirms_is_replaced_at_once():
    observations = [observation("p1", False, 300), observation("p2", False, 250)]
    assert verdict(observations) is Verdict.replace


def test_without_reports_the_primary_is_kept():
    assert verdict([]) is Verdict.keep


def test_reports_from_too_few_proxies_do_not_replace_a_primary():
    observations = [observation("p1", False, 2300), observation("p2", False, 2400)]
    assert verdict(observations, proxies=7) is Verdict.keep
    assert verdict(observations, proxies=4) is Verdict.replace


def test_a_new_leader_waits_for_reports_of_the_proxies():
    assert verdict([observation("p1", False, 900)], led_for_s=0.5) is Verdict.keep


def test_a_primary_that_one_of_many_proxies_cannot_reach_is_kept():
    observations = [observation("p1", False, 5000)] + [
        observation(f"p{n}") for n in range(2, 6)
    ]
    assert verdict(observations) is Verdict.keep


def test_a_primary_that_many_proxies_cannot_reach_until_timeout_is_replaced():
    observations = [observation(f"p{n}", False, 1500) for n in range(3)]
    observations += [observation(f"q{n}") for n in range(4)]
    assert verdict(observations) is Verdict.replace


def test_a_primary_that_many_proxies_cannot_reach_only_briefly_is_kept():
    observations = [observation(f"p{n}", False, 400) for n in range(3)]
    observations += [observation(f"q{n}") for n in range(4)]
    assert verdict(observations) is Verdict.keep


def test_proxies_that_name_the_former_primary_do_not_count_against_the_new_one():
    # They had just come back from a cut. The former primary replaced the new one, and
    # commits that the first promotion had rolled back came back.
    observations = [observation(f"p{n}", False, 4100, "t2") for n in range(3)]
    observations += [observation(f"q{n}") for n in range(3)]
    assert verdict(observations) is Verdict.keep


def test_a_leaving_primary_is_replaced():
    assert verdict([observation("p1")], leaving=True) is Verdict.replace


def test_a_primary_that_proxies_confirm_is_adopted():
    found = assess(SERVICE, view(), [observation("p1", target_id="t2")], 1, LED_FOR_S)
    assert found.verdict is Verdict.adopt
    assert found.target_id == "t2"


def test_old_reports_are_ignored():
    report = ProxyReport("p1", "dc-1", 1, [PrimaryReport(SERVICE, "t1", True, 10)])
    reports = {"p1": ReceivedReport(report, 100.0)}
    assert len(observations_by_service(reports, 100.3)[SERVICE].recent) == 1
    assert observations_by_service(reports, 103.0)[SERVICE].recent == []


def test_proxies_whose_last_report_is_old_still_count_as_reporters():
    primaries = [PrimaryReport(SERVICE, "t1", True, 10)]
    primaries.append(PrimaryReport("other", "t9", True, 10))
    reports = {
        "p1": ReceivedReport(ProxyReport("p1", "dc-1", 1, primaries), 100.0),
        "p2": ReceivedReport(ProxyReport("p2", "dc-1", 1, primaries[:1]), 103.0),
        "p3": ReceivedReport(ProxyReport("p3", "dc-1", 1), 103.0),
    }
    found = observations_by_service(reports, 103.0)
    assert {name: each.reporters for name, each in found.items()} == {
        SERVICE: 2,
        "other": 1,
    }
    assert [each.proxy_id for each in found[SERVICE].recent] == ["p2"]
    assert found["other"].recent == []


def test_proxies_whose_lease_has_ended_do_not_keep_a_primary():
    # Most proxies are partitioned from control with the primary. Without a lease they
    # can't use it, and the callers of the others would be refused until the end of the
    # partition.
    primaries = [PrimaryReport(SERVICE, "t1", False, 2000)]
    reports = {
        f"p{number}": ReceivedReport(
            ProxyReport(f"p{number}", "dc-1", 1, primaries), received_at
        )
        for number, received_at in enumerate([103.0, 103.0, 101.5, 101.5, 101.5, 101.5])
    }

    def verdict_under(lease_s):
        found = observations_by_service(reports, 103.0, lease_s)[SERVICE]
        return verdict(found.recent, proxies=found.reporters)

    assert verdict_under(2.0) is Verdict.keep
    assert verdict_under(1.2) is Verdict.replace


def test_the_candidate_with_the_highest_position_is_chosen():
    behind = Candidate(target("t2"), Position(1, 8), 1, 0)
    ahead = Candidate(target("t3"), Position(1, 9), 1, 0)
    chosen = choose_candidate([behind, ahead], [observation("p1", False)], "t1")
    assert chosen is ahead


def test_a_candidate_as_unreachable_as_the_primary_is_not_chosen():
    observations = [
        observation("p1", False, 2000, unreachable=["t2"]),
        observation("p2", False, 2000),
        observation("p3"),
    ]
    unreached = Candidate(target("t2"), Position(1, 9), 1, 2)
    reached = Candidate(target("t3"), Position(1, 7), 1, 1)
    assert choose_candidate([unreached, reached], observations, "t1") is reached


def test_a_candidate_that_did_not_answer_is_not_chosen():
    unresponsive = Candidate(target("t2"), None, 0, 0)
    assert choose_candidate([unresponsive], [observation("p1", False)], "t1") is None


def test_leaving_targets_are_not_candidates():
    entries = view().targets | {"t2": target("t2", leaving=True)}
    changed = DirectoryView(1, targets=entries, primaries={SERVICE: "t1"})
    (asked,) = AsynchronousRule().asked_targets(SERVICE, changed)
    assert [e.target_id for e in asked] == ["t3"]


def test_a_proxy_that_was_just_told_of_a_primary_is_no_evidence_against_it():
    """The first proxy that was back after a cut had a healthy primary replaced."""
    told = Observation("p1", "t1", False, 14, [], was_confirmed=False)
    assert verdict([told]) is Verdict.keep
    told = Observation("p1", "t1", False, 600, [], was_confirmed=False)
    assert verdict([told]) is Verdict.replace


def test_a_proxy_that_has_not_heard_of_a_primary_is_no_evidence_against_it():
    assert verdict([observation("p1", False, 5000, "t2")]) is Verdict.keep
    found_itself = Observation("p1", "t2", False, 5000, [], named_id="t1")
    assert verdict([found_itself]) is Verdict.replace


def test_proxies_that_were_out_of_touch_are_no_evidence_against_a_primary():
    """They were cut off from it too, and have had no time to reach it again."""

    def back_for(seconds):
        return [
            Observation(f"p{n}", "t1", False, 5000, [], in_touch_s=seconds)
            for n in range(3)
        ]

    others = [observation(f"q{n}") for n in range(3)]
    assert verdict(back_for(0.1)) is Verdict.keep
    assert verdict(back_for(0.1) + others) is Verdict.keep
    assert verdict(back_for(0.6)) is Verdict.replace
    assert verdict(back_for(0.6) + others) is Verdict.replace


def test_evidence_of_a_few_proxies_does_not_replace_a_primary():
    told = [
        Observation(f"p{n}", "t1", False, 14, [], was_confirmed=False) for n in range(4)
    ]
    assert verdict([observation("q0", False, 900), *told]) is Verdict.keep


def test_a_report_after_a_pause_begins_a_new_contact():
    leadership = DirectoryLeadership(100.0, 1)
    report = ProxyReport("p1", "dc-1", 1, [PrimaryReport(SERVICE, "t1", False, 900)])

    def in_touch_s(now):
        leadership.receive_report(report, now)
        found = observations_by_service(leadership.reports, now)[SERVICE]
        return found.recent[0].in_touch_s

    assert in_touch_s(101.0) == 0.0
    assert in_touch_s(102.0) == 1.0
    assert in_touch_s(102.0 + PRIMARY_LEASE_S + 0.1) == 0.0


def choose_in_term(newest_term, *candidates, awaits_followers=True):
    replacement = Replacement(
        list(candidates),
        [observation("p1", False, 900)],
        "t1",
        newest_term=newest_term,
        awaits_followers=awaits_followers,
    )
    return AsynchronousRule().choose(replacement)


def test_a_target_that_follows_the_last_promotion_is_preferred():
    """A longer log of an earlier term holds commits that were rolled back."""
    former = Candidate(target("t2"), Position(1, 109), 1, 0)
    follower = Candidate(target("t3"), Position(1, 62), 3, 0)
    assert choose_in_term(3, former, follower) is follower
    assert choose_in_term(0, former, follower) is follower


def test_a_target_that_missed_the_last_promotion_is_chosen_if_no_other_may_answer():
    former = Candidate(target("t2"), Position(1, 109), 1, 0)
    assert choose_in_term(3, former) is None
    assert choose_in_term(3, former, awaits_followers=False) is former


def test_a_target_that_missed_the_last_promotion_is_not_chosen_for_its_reach():
    former = Candidate(target("t2"), Position(1, 109), 1, 0)
    follower = Candidate(target("t3"), Position(3, 70), 3, 1)
    assert choose_in_term(3, former, follower) is None
