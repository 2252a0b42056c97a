"""Carries messages between members as JSON over HTTP."""

from collections import deque
from collections.abc import Callable

from ..internal.loop import Event, Task, spawn
from ..wire.client import Client
from ..wire.codec import decode, encode
from ..wire.errors import WireError
from ..wire.server import Handler, Request, Response
from .driver import ConsensusLog
from .log import MAX_APPEND_BYTES
from .messages import AnyMessage, Append, Packet, SnapshotPart
from .transport import Transport

CONSENSUS_PATH = "/v1/consensus"
MAX_QUEUED_MESSAGES = 512
MAX_PACKET_MESSAGES = 64
MAX_PACKET_BYTES = MAX_APPEND_BYTES

MessagesHandler = Callable[[list[AnyMessage]], None]


class PeerLink:
    """The outgoing queue to one member, and the task that sends from it."""

    __slots__ = (
        "client",
        "address",
        "queue",
        "timeout_s",
        "on_messages",
        "wake_event",
        "task",
    )

    def __init__(self, client: Client, timeout_s: float, on_messages: MessagesHandler):
        self.client = client
        self.on_messages = on_messages
        self.address = ""
        self.queue: deque[AnyMessage] = deque()
        self.timeout_s = timeout_s
        self.wake_event = Event()
        self.task: Task = spawn(self._run)

    def put(self, address: str, messages: list[AnyMessage]) -> None:
        """Queues messages and drops those that exceed the queue's limit."""
        self.address = address
        free_slots = MAX_QUEUED_MESSAGES - len(self.queue)
        self.queue.extend(messages[:free_slots])
        if not self.wake_event.ready():
            self.wake_event.send()

    def _run(self) -> None:
        while True:
            self.wake_event.wait()
            self.wake_event = Event()
            while self.queue:
                self._send_packet()

    def _send_packet(self) -> None:
        body = encode(Packet(self._next_batch()))
        try:
            status, reply = self.client.exchange(
                self.address, "POST", CONSENSUS_PATH, body, self.timeout_s
            )
            answers = decode(reply, Packet).messages if status == 200 else []
        except WireError:
            # Messages queued behind a failed request are stale; the leader resends.
            self.queue.clear()
            return
        if answers:
            self.on_messages(answers)

    def _next_batch(self) -> list[AnyMessage]:
        batch = [self.queue.popleft()]
        size = _size_of(batch[0])
        while self.queue and len(batch) < MAX_PACKET_MESSAGES:
            size += _size_of(self.queue[0])
            if size > MAX_PACKET_BYTES:
                break
            batch.append(self.queue.popleft())
        return batch


def _size_of(message: AnyMessage) -> int:
    if isinstance(message, Append):
        return sum(len(entry.data) for entry in message.entries)
    if isinstance(message, SnapshotPart):
        return len(message.data)
    return 0


class HttpTransport(Transport):
    """Keeps one task and one bounded queue per peer.

    :ivar timeout_s: limit for one request and its reply, in seconds.
    :ivar on_messages: called with the messages in a peer's reply.
    """

    __slots__ = ("client", "timeout_s", "on_messages", "links")

    def __init__(self, timeout_s: float = 0.5):
        self.on_messages: MessagesHandler = lambda messages: None
        self.client = Client()
        self.timeout_s = timeout_s
        self.links: dict[str, PeerLink] = {}

    def __enter__(self) -> "HttpTransport":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for link in self.links.values():
            link.task.kill()
        self.links.clear()
        self.client.__exit__(*exc_info)

    def send(self, member_id: str, address: str, messages: list[AnyMessage]) -> None:
        link = self.links.get(member_id)
        if link is None:
            link = self.links[member_id] = PeerLink(
                self.client, self.timeout_s, self.on_messages
            )
        link.put(address, messages)


def consensus_routes(log: ConsensusLog) -> dict[tuple[str, str], Handler]:
    """Returns the route on which a log receives messages from other members."""

    def receive(request: Request) -> Response:
        messages = decode(request.body, Packet).messages
        return Response(Packet(log.exchange(messages)))

    return {("POST", CONSENSUS_PATH): receive}
