"""The configuration's revisions, and the stored answers that deduplicate publishes."""

import msgspec

from ..wire.control import Publish, PublishReply, PublishStatus
from ..wire.service import Configuration

MAX_REMEMBERED_PUBLISHES = 50_000


class FirstAnswer(msgspec.Struct, frozen=True):
    """The answer to a publish when it was first applied."""

    content_hash: str
    reply: PublishReply


class RevisionsSnapshot(msgspec.Struct, frozen=True):
    """The whole state of :class:`Revisions`, the oldest answer first."""

    configuration: Configuration = Configuration()
    publish_id: str = ""
    answers: dict[str, FirstAnswer] = {}


class Revisions:
    """Accepts the first publish in the log that replaces a revision.

    :ivar publish_id: the publish that produced the current revision.
    :ivar answers: first answers by publish id. The oldest are dropped beyond
        ``max_answers``; a later resend gets a conflict, as its expected revision has
        been replaced by then, so it never takes effect twice.
    """

    __slots__ = ("configuration", "publish_id", "answers", "max_answers")

    def __init__(self, max_answers: int = MAX_REMEMBERED_PUBLISHES):
        self.configuration = Configuration()
        self.publish_id = ""
        self.answers: dict[str, FirstAnswer] = {}
        self.max_answers = max_answers

    def publish(self, publish: Publish) -> PublishReply:
        """Applies a publish, or returns its stored answer if it is a resend."""
        first = self.answers.get(publish.publish_id)
        if first is None:
            return self._answer_new(publish)
        if first.content_hash != publish.content_hash:
            return PublishReply(PublishStatus.id_reused, first.reply.revision)
        return first.reply

    def snapshot(self) -> RevisionsSnapshot:
        """Returns all that :meth:`restore` needs."""
        return RevisionsSnapshot(self.configuration, self.publish_id, self.answers)

    def restore(self, snapshot: RevisionsSnapshot) -> None:
        """Replaces the whole state."""
        self.configuration = snapshot.configuration
        self.publish_id = snapshot.publish_id
        self.answers = dict(snapshot.answers)

    def _answer_new(self, publish: Publish) -> PublishReply:
        reply = self._decide(publish)
        self.answers[publish.publish_id] = FirstAnswer(publish.content_hash, reply)
        if len(self.answers) > self.max_answers:
            del self.answers[next(iter(self.answers))]
        return reply

    def _decide(self, publish: Publish) -> PublishReply:
        current = self.configuration
        if publish.expected_revision != current.revision:
            return PublishReply(
                PublishStatus.conflict, current.revision, self.publish_id
            )
        if publish.content_hash == current.content_hash:
            return PublishReply(PublishStatus.unchanged, current.revision)
        self.configuration = Configuration(
            current.revision + 1, publish.content_hash, publish.services
        )
        self.publish_id = publish.publish_id
        return PublishReply(PublishStatus.accepted, self.configuration.revision)
