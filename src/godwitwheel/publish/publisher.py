"""Publishes a configuration and waits until it is active at every live proxy."""

import time
from collections.abc import Callable

from ..internal.loop import sleep
from ..internal.sentinel import NotSet, not_set
from ..observe.events import EventName, record_event
from ..wire.control import InForce, Publish, PublishReply, PublishStatus
from ..wire.service import Service, hash_services
from .control_client import ControlClient
from .errors import ControlUnreachable, OutcomeUnknown

POLL_S = 0.1


class Publisher:
    """Publishes one configuration; every resend has the same publish id.

    :ivar report: prints one line for the operator.
    :ivar expected_revision: the revision to replace, once it is known.
    """

    __slots__ = ("control", "publish_id", "report", "expected_revision")

    def __init__(
        self, control: ControlClient, publish_id: str, report: Callable[[str], None]
    ):
        self.control = control
        self.publish_id = publish_id
        self.report = report
        self.expected_revision: int | None = None

    def publish(
        self, services: dict[str, Service], expected_revision: int | NotSet = not_set
    ) -> PublishReply:
        """Sends the configuration and resends it until control answers.

        :param expected_revision: revision to replace; defaults to the current one.
        :raises ControlUnreachable: if no leader was found; nothing was published.
        :raises PublishRefused: if control refused; nothing was published.
        :raises OutcomeUnknown: if the configuration may have been published.
        """
        if expected_revision is not_set:
            expected_revision = self.in_force().revision
        self.expected_revision = expected_revision
        message = Publish(
            self.publish_id, expected_revision, hash_services(services), services
        )
        self.report(
            f"publishing {len(services)} services in place of revision "
            f"{expected_revision} as {self.publish_id}"
        )
        record_event(
            EventName.publish_sent,
            publish_id=self.publish_id,
            expected_revision=expected_revision,
        )
        reply = self.control.request("/v1/publish", message, PublishReply)
        record_event(
            EventName.publish_answered,
            publish_id=self.publish_id,
            status=reply.status,
            revision=reply.revision,
        )
        self.report(describe_reply(reply))
        return reply

    def in_force(self) -> InForce:
        """Returns the committed revision and the active one of each live proxy.

        :raises ControlUnreachable: if no leader answered.
        """
        try:
            return self.control.request("/v1/in-force", None, InForce)
        except OutcomeUnknown as error:
            # A query changes nothing, so a lost reply counts as control unreachable.
            raise ControlUnreachable(str(error)) from error

    def wait_in_force(self, revision: int, limit_s: float) -> bool:
        """Waits until ``revision`` or a later one is active at every live proxy.

        :returns: whether this was observed within ``limit_s`` seconds.
        """
        deadline = time.monotonic() + limit_s
        while True:
            state = self.in_force()
            behind = [name for name, held in state.proxies.items() if held < revision]
            if not behind or time.monotonic() >= deadline:
                break
            sleep(POLL_S)
        for line in describe_proxies(state, revision):
            self.report(line)
        return not behind


def describe_reply(reply: PublishReply) -> str:
    """Describes a reply for the operator."""
    if reply.status is PublishStatus.accepted:
        return f"accepted: revision {reply.revision}"
    if reply.status is PublishStatus.unchanged:
        return f"unchanged: revision {reply.revision} has the same content"
    if reply.status is PublishStatus.id_reused:
        return "id_reused: this publish id was used with other content; nothing changed"
    return (
        f"conflict: revision {reply.revision}, published as {reply.winner}, is in the "
        "way; nothing changed"
    )


def describe_proxies(state: InForce, revision: int) -> list[str]:
    """Returns one line for each live proxy."""
    if not state.proxies:
        return [f"revision {revision}: no live proxy yet"]
    lines = []
    for proxy_id, held in sorted(state.proxies.items()):
        word = "in force" if held >= revision else "not yet in force"
        lines.append(f"revision {revision}: {word} at {proxy_id} (acts on {held})")
    return lines
