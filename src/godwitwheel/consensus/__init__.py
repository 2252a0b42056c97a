"""Replicated log (Raft): elections, replication, storage and snapshots.

A cell is the group of members that replicate one log. A member constructs its
:class:`~.replicated.StateMachine` and :class:`~.state.ConsensusOptions`, runs the
log and serves its route::

    options = ConsensusOptions(
        settings.member_id,
        settings.advertise,
        settings.members,
        may_bootstrap=not settings.join,
        election_timeout_s=settings.election_timeout_s,
        append_interval_s=settings.append_interval_s,
    )
    rng = random.Random()
    folder = settings.data_folder
    with running_log(options, state_machine, folder, clock, rng) as log:
        routes = {**consensus_routes(log), **other_routes}
        with Server(routes, on_error).listening(settings.listen):
            ...

``running_log`` is in ``running``, ``consensus_routes`` in ``http_transport``.

* ``log.propose(command, timeout_s)`` and ``log.confirm_leadership(timeout_s)`` may
  be called by any number of tasks at once; concurrent calls share disk syncs and
  leadership confirmation rounds.
* ``log.leader_id()`` and ``log.leader_address()`` identify the leader, to which a
  follower redirects its callers.
* ``log.leader_since()`` is a reading of the clock, ``None`` unless this member is
  leader and has applied all entries of earlier terms.
* ``log.failure`` is set once the disk has failed. The member then has to stop, because
  the content of the disk is no longer known; it may run again on a reopened log.
* ``StateMachine.apply`` runs on the event loop and must not yield.

The initial members of a cell are those in ``members``, if all of them start with an
empty data folder. The one with the lowest id bootstraps the cell once all the others
have replied to it. A member whose folder was lost starts with the same settings and an
empty folder. It then has a new identity under the same id: its peers remove the old
identity, add the member as a learner and make it a voter once it has caught up, all
by committed entries. A member with a new id starts with ``may_bootstrap=False`` and the
addresses of some running members. ``log.remove_member(id)`` removes a member
permanently.
"""
