"""Single requests of callers, for scenarios on real processes."""

import http.client
import threading
import uuid

from bench.workload import Booking, NamedRequest, OwnEntries, SharedView
from godwitwheel.internal.validation import split_address
from godwitwheel.wire.caller import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    NEW_SESSION,
    SESSION_HEADER,
    CallerAnswer,
    Outcome,
)
from godwitwheel.wire.codec import decode, encode

from .processes import wait_until

GROUP = "hangars-carrasco"
BOOK = Booking("hangar-ledger", "book-carrasco", GROUP)
CANCEL = Booking("hangar-ledger", "cancel-carrasco", GROUP)
ORDER_PAIR = Booking("crew-orders", "order-carrasco", GROUP, entries=2)
OWN_BOOKINGS = OwnEntries("hangar-ledger", "history-carrasco", GROUP, 600_000)
AVAILABILITY = SharedView("hangar-ledger", "availability-carrasco", GROUP, 2000)
DEADLINE_MS = 3_000
ANSWER_TIMEOUT_S = 30.0


def new_key() -> str:
    """Returns a new idempotency key."""
    return str(uuid.uuid4())


def send(
    proxy: str,
    request: NamedRequest,
    key: str,
    caller: str = "ana",
    session: str = NEW_SESSION,
    with_key: bool = True,
) -> CallerAnswer:
    """Sends one request over a connection of its own.

    :param with_key: whether ``key`` is sent as the idempotency key.
    :raises OSError: if no answer came.
    """
    connection = http.client.HTTPConnection(
        *split_address(proxy), timeout=ANSWER_TIMEOUT_S
    )
    headers = {
        SESSION_HEADER: session,
        DEADLINE_HEADER: str(DEADLINE_MS),
    }
    if with_key:
        headers[IDEMPOTENCY_KEY_HEADER] = key
    try:
        body = encode(request.build(key, caller))
        connection.request("POST", "/v1/request", body, headers)
        return decode(connection.getresponse().read(), CallerAnswer)
    except http.client.HTTPException as error:
        raise OSError(f"{proxy}: {error!r}") from error
    finally:
        connection.close()


def send_until_accepted(
    proxy: str, *arguments: object, **options: object
) -> CallerAnswer:
    """Sends a request until its answer asks for no further retry."""

    def try_once() -> CallerAnswer | None:
        answer = send(proxy, *arguments, **options)

        is_refused = answer.outcome is Outcome.not_run and answer.retry_after_ms
        return None if is_refused else answer

    return wait_until(try_once, f"{proxy} runs the request")


class BackgroundRequest(threading.Thread):
    """A request that runs in a thread of its own.

    :ivar answer: ``None`` until it arrives; stays ``None`` if the connection broke.
    """

    def __init__(self, *arguments: object, **options: object):
        super().__init__(daemon=True)
        self.arguments = arguments
        self.options = options
        self.answer: CallerAnswer | None = None
        self.error: Exception | None = None
        self.start()

    def run(self) -> None:
        try:
            self.answer = send_until_accepted(*self.arguments, **self.options)
        except (OSError, AssertionError) as error:
            self.error = error

    def result(self) -> CallerAnswer:
        """Waits for the answer.

        :raises OSError: if the connection broke.
        """
        self.join(ANSWER_TIMEOUT_S)
        if self.answer is None:
            raise self.error or TimeoutError("no answer yet")
        return self.answer
