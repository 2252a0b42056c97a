"""The state that every control member builds from the replicated log."""

from collections.abc import Callable

import msgspec

from ..consensus.replicated import StateMachine
from ..decisions.claims import ClaimRecord, ClaimsSnapshot, ClaimTable
from ..directory.commands import (
    DropEntry,
    FencePrimary,
    ForgetLost,
    PauseReplicas,
    PutEntry,
    PutTable,
    RecordTerm,
    ResumeReplicas,
    SetOwners,
    SetPrimary,
)
from ..directory.state import Directory, DirectorySnapshot
from ..directory.tables import JsonTableCodec, TableCodec
from ..wire.caller import CallerAnswer
from ..wire.codec import decode, encode
from ..wire.control import ClaimReply, ClaimStatus, OutcomeRecorded
from .cluster import Cluster, ClusterSnapshot
from .commands import (
    Batch,
    Changed,
    ChangeGroup,
    ClaimCommand,
    Command,
    OutcomeCommand,
    PublishCommand,
    PutTarget,
    RemoveTarget,
    SetTokenKey,
    encode_results,
)
from .revisions import Revisions, RevisionsSnapshot


class StateSnapshot(msgspec.Struct):
    """The whole replicated state."""

    cluster: ClusterSnapshot
    revisions: RevisionsSnapshot
    claims: ClaimsSnapshot
    directory: DirectorySnapshot = DirectorySnapshot()


class ControlState(StateMachine):
    """Applies batches of commands.

    :ivar on_applied: called after each batch or loaded snapshot, in the same task.
    """

    __slots__ = (
        "cluster",
        "revisions",
        "claims",
        "directory",
        "on_applied",
        "_handlers",
    )

    def __init__(
        self,
        on_applied: Callable[[], None] = lambda: None,
        table_codec: TableCodec | None = None,
    ):
        self.cluster = Cluster()
        self.revisions = Revisions()
        self.claims = ClaimTable()
        self.directory = Directory(table_codec or JsonTableCodec())
        self.on_applied = on_applied
        self._handlers = {
            PublishCommand: self._publish,
            ClaimCommand: self._claim,
            OutcomeCommand: self._record_outcome,
            SetTokenKey: self._set_token_key,
            PutTarget: self._put_target,
            RemoveTarget: self._remove_target,
            ChangeGroup: self._change_group,
            PutTable: self.directory.put_table,
            PutEntry: self.directory.put_entry,
            DropEntry: self.directory.drop_entry,
            SetPrimary: self.directory.set_primary,
            FencePrimary: self.directory.fence_primary,
            RecordTerm: self.directory.record_term,
            SetOwners: self.directory.set_owners,
            PauseReplicas: self.directory.pause_replicas,
            ResumeReplicas: self.directory.resume_replicas,
            ForgetLost: self.directory.forget_lost,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        batch = decode(command, Batch)
        results = [self._apply_one(index, item) for item in batch.commands]
        self.on_applied()
        return encode_results(results)

    def take_snapshot(self) -> bytes:
        return encode(
            StateSnapshot(
                self.cluster.snapshot(),
                self.revisions.snapshot(),
                self.claims.snapshot(),
                self.directory.snapshot(),
            )
        )

    def load_snapshot(self, snapshot: bytes) -> None:
        state = decode(snapshot, StateSnapshot)
        self.cluster.restore(state.cluster)
        self.revisions.restore(state.revisions)
        self.claims.restore(state.claims)
        self.directory.restore(state.directory)
        self.on_applied()

    def _apply_one(self, index: int, command: Command) -> object:
        return self._handlers[type(command)](index, command)

    def _publish(self, index: int, command: PublishCommand) -> object:
        return self.revisions.publish(command.publish)

    def _claim(self, index: int, command: ClaimCommand) -> ClaimReply:
        status, record = self.claims.claim(command.claim, command.wall_s)
        return claim_reply(status, record)

    def _record_outcome(self, index: int, command: OutcomeCommand) -> object:
        recorded = self.claims.record(command.outcome, command.wall_s)
        return OutcomeRecorded(recorded)

    def _set_token_key(self, index: int, command: SetTokenKey) -> Changed:
        return Changed(self.cluster.set_token_key(index, command))

    def _put_target(self, index: int, command: PutTarget) -> Changed:
        return Changed(self.cluster.put_target(index, command))

    def _remove_target(self, index: int, command: RemoveTarget) -> Changed:
        return Changed(self.cluster.remove_target(index, command))

    def _change_group(self, index: int, command: ChangeGroup) -> Changed:
        return Changed(self.cluster.change_group(index, command))


def claim_reply(status: ClaimStatus, record: ClaimRecord | None) -> ClaimReply:
    """Builds the reply to a claim, with the recorded answer if there is one."""
    if status is not ClaimStatus.recorded:
        return ClaimReply(status)
    return ClaimReply(status, decode(bytes(record.answer), CallerAnswer))
