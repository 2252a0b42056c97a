"""The names of events on the timeline, and functions that record an event."""

import enum

from eliot import log_message

from .build import running_build


class EventName(enum.StrEnum):
    """Every event that a process records; OPERATORS.md explains each."""

    process_started = "process_started"
    process_failed = "process_failed"
    process_stopping = "process_stopping"
    process_stopped = "process_stopped"
    handler_failed = "handler_failed"
    request_unreadable = "request_unreadable"
    leader_elected = "leader_elected"
    leader_lost = "leader_lost"
    snapshot_written = "snapshot_written"
    membership_changed = "membership_changed"
    target_announced = "target_announced"
    target_leaving = "target_leaving"
    target_unreachable = "target_unreachable"
    target_reachable = "target_reachable"
    target_forgotten = "target_forgotten"
    target_lost = "target_lost"
    lost_targets_kept = "lost_targets_kept"
    lost_targets_forgotten = "lost_targets_forgotten"
    target_ejected = "target_ejected"
    target_restored = "target_restored"
    primary_lost = "primary_lost"
    group_fenced = "group_fenced"
    leases_out = "leases_out"
    target_promoted = "target_promoted"
    writes_accepted = "writes_accepted"
    ack_set_changed = "ack_set_changed"
    token_key_made = "token_key_made"
    lease_lost = "lease_lost"
    lease_granted = "lease_granted"
    view_in_force = "view_in_force"
    revision_published = "revision_published"
    revision_in_force = "revision_in_force"
    publish_conflict = "publish_conflict"
    publish_sent = "publish_sent"
    publish_answered = "publish_answered"
    request_dropped = "request_dropped"
    outcome_dropped = "outcome_dropped"
    statement_done = "statement_done"
    statement_failed = "statement_failed"
    statement_refused = "statement_refused"
    session_refused = "session_refused"
    session_expired = "session_expired"
    caller_dropped = "caller_dropped"
    transaction_expired = "transaction_expired"
    setup_refused = "setup_refused"
    primary_found = "primary_found"
    control_reachable = "control_reachable"
    control_unreachable = "control_unreachable"
    call_refused = "call_refused"
    table_published = "table_published"
    table_refused = "table_refused"
    target_changed = "target_changed"
    announcement_late = "announcement_late"
    primary_fenced = "primary_fenced"
    promotion_ordered = "promotion_ordered"
    promotion_answered = "promotion_answered"
    promotion_withheld = "promotion_withheld"
    promotion_without_effect = "promotion_without_effect"
    primary_named = "primary_named"
    primary_term_learnt = "primary_term_learnt"
    primary_term_unknown = "primary_term_unknown"
    primary_stepped_down = "primary_stepped_down"
    replicas_paused = "replicas_paused"
    replicas_resumed = "replicas_resumed"
    settings_reloaded = "settings_reloaded"
    settings_rejected = "settings_rejected"
    storage_failed = "storage_failed"
    member_failed = "member_failed"
    owners_changed = "owners_changed"
    owner_unreachable = "owner_unreachable"
    isolation_changed = "isolation_changed"
    proxy_lost = "proxy_lost"
    proxy_seen = "proxy_seen"
    builds_changed = "builds_changed"
    table_in_force = "table_in_force"
    table_fetch_failed = "table_fetch_failed"


def record_failure(error: Exception) -> None:
    """Records an unexpected error; the process keeps running."""
    record_event(EventName.handler_failed, error=repr(error))


def record_start(**fields: object) -> None:
    """Records that this process has started, and what it runs."""
    record_event(EventName.process_started, **running_build().fields(), **fields)


def record_event(event: EventName, **fields: object) -> None:
    """Records an event; the log's destination adds time and process."""
    log_message(message_type=event.value, **fields)
