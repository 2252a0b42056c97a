"""The event loop: the only module that names eventlet outside ``wire``.

Everything else sleeps, spawns and waits through these functions, so that the
loop can be replaced in one place. eventlet warns at import that it is
deprecated; the users chose it all the same.
"""

import contextlib
import warnings
from collections.abc import Callable, Iterator

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet
    import eventlet.event
    import eventlet.hubs
    import eventlet.semaphore

Event = eventlet.event.Event
Semaphore = eventlet.semaphore.Semaphore
LoopTimeout = eventlet.Timeout
Task = eventlet.greenthread.GreenThread

RESTART_PAUSE_S = 0.2


def patch_standard_library() -> None:
    """Makes blocking calls of the standard library yield to the loop.

    Each process calls this first thing, before it imports modules that open
    sockets.
    """
    eventlet.monkey_patch()


def spawn(function: Callable, *args, **kwargs) -> Task:
    """Starts ``function`` as a task of the loop."""
    return eventlet.spawn(function, *args, **kwargs)


def current_task() -> object:
    """Returns the task that runs now, to be handed to :func:`interrupt`."""
    return eventlet.getcurrent()


def interrupt(
    task: object, error: Exception, is_wanted: Callable[[], bool] = lambda: True
) -> None:
    """Raises ``error`` in a task where it waits, once the loop turns.

    :param is_wanted: asked just before; the task may have gone on meanwhile.
    """

    def throw() -> None:
        if is_wanted():
            task.throw(error)

    eventlet.hubs.get_hub().schedule_call_global(0, throw)


def sleep(seconds: float = 0.0) -> None:
    """Yields to the loop for at least ``seconds``."""
    eventlet.sleep(seconds)


def wait_for(event: Event, seconds: float) -> bool:
    """Waits until ``event`` is sent.

    :param seconds: the longest wait, in seconds.
    :returns: whether the event was sent in time.
    """
    if event.ready():
        return True
    with eventlet.Timeout(max(seconds, 0.0), False):
        event.wait()
        return True
    return event.ready()


def keep_running(
    function: Callable, on_failure: Callable[[Exception], None], *args
) -> None:
    """Runs ``function``, and again after a pause should it fail.

    A background task that ends with its first unforeseen error would stop renewing
    leases, or probing a target, for good.

    :param on_failure: told of each failure.
    """
    while True:
        try:
            function(*args)
            return
        except Exception as error:
            on_failure(error)
            sleep(RESTART_PAUSE_S)


@contextlib.contextmanager
def running_task(
    function: Callable, on_failure: Callable[[Exception], None]
) -> Iterator[Task]:
    """Keeps ``function`` running as a task and kills it on leaving the block."""
    task = spawn(keep_running, function, on_failure)
    try:
        yield task
    finally:
        task.kill()
