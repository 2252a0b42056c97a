"""Commands of the replicated log, and the results of applying them."""

import msgspec

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
from ..wire.codec import encode
from ..wire.control import Claim, GroupView, Publish, RecordOutcome, TargetRecord


class PublishCommand(msgspec.Struct, frozen=True, tag="publish"):
    """Replaces the configuration, if its revision is still the expected one."""

    publish: Publish


class ClaimCommand(msgspec.Struct, frozen=True, tag="claim"):
    """Claims an idempotency key.

    :ivar wall_s: the proposing leader's wall clock, in seconds since the Unix epoch;
        applying a command must not read a clock.
    """

    claim: Claim
    wall_s: float


class OutcomeCommand(msgspec.Struct, frozen=True, tag="outcome"):
    """Records the outcome of a claim's attempt."""

    outcome: RecordOutcome
    wall_s: float


class SetTokenKey(msgspec.Struct, frozen=True, tag="token_key"):
    """Sets the key that signs session tokens, if there is none yet."""

    token_key: str


class PutTarget(msgspec.Struct, frozen=True, tag="put_target"):
    """Adds a target or replaces its record."""

    record: TargetRecord


class RemoveTarget(msgspec.Struct, frozen=True, tag="remove_target"):
    """Removes a target that no group view refers to."""

    target_id: str


class Floor(msgspec.Struct, frozen=True):
    """The log position up to which a target's log is known to reach.

    :ivar position: index within the history of ``term``.
    """

    term: int
    position: int


class ChangeGroup(msgspec.Struct, frozen=True, tag="change_group"):
    """Replaces a group's view, if it has not changed since it was read.

    :ivar based_on: log index of the change that produced the replaced view.
    :ivar floors: known positions of the targets that hold every acknowledged
        write; a target below its floor has lost its log.
    """

    view: GroupView
    based_on: int
    floors: dict[str, Floor] = {}


class Changed(msgspec.Struct, frozen=True):
    """Whether a change was applied."""

    applied: bool


Command = (
    PublishCommand
    | ClaimCommand
    | OutcomeCommand
    | SetTokenKey
    | PutTarget
    | RemoveTarget
    | ChangeGroup
    | PutTable
    | PutEntry
    | DropEntry
    | FencePrimary
    | SetPrimary
    | RecordTerm
    | SetOwners
    | PauseReplicas
    | ResumeReplicas
    | ForgetLost
)


class Batch(msgspec.Struct, frozen=True):
    """Commands that are committed in one log entry."""

    commands: list[Command]


class EncodedBatch(msgspec.Struct, frozen=True):
    """A :class:`Batch` whose commands are already encoded."""

    commands: list[msgspec.Raw]


class Results(msgspec.Struct, frozen=True):
    """One encoded result for each command of a batch."""

    results: list[msgspec.Raw]


def encode_batch(commands: list[bytes]) -> bytes:
    """Encodes a batch of encoded commands."""
    return encode(EncodedBatch([msgspec.Raw(command) for command in commands]))


def encode_results(results: list[object]) -> bytes:
    """Encodes the results of a batch."""
    return encode(Results([msgspec.Raw(encode(result)) for result in results]))
