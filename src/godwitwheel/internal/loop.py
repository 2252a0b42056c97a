"""The event loop: the only module that imports eventlet outside ``wire``.

Everything else sleeps, spawns and waits through these functions, so that the
loop can be replaced in one place. eventlet warns at import that it is
deprecated; the users chose it nevertheless.
"""

import contextlib
import warnings
from collections.abc import Callable, Iterator

from .imports import without_module

# eventlet imports asyncio for a hub that isn't used here.
with warnings.catch_warnings(), without_module("asyncio"):
    warnings.simplefilter("ignore")
    import eventlet
    import eventlet.event
    import eventlet.hubs
    import eventlet.semaphore

Event = eventlet.event.Event
Semaphore = eventlet.semaphore.Semaphore
LoopTimeout = eventlet.Timeout
Task = eventlet.greenthread.GreenThread

RESTART_DELAY_S = 0.2


def patch_standard_library(with_subprocesses: bool = False) -> None:
    """Makes blocking calls of the standard library yield to the loop.

    Each process calls this first, before it imports modules that open sockets.
    Only ``time`` is patched: ``wire`` uses the loop's own sockets, a process has one
    thread, and patching locks takes as long as half of the imports.

    :param with_subprocesses: whether to patch everything, for tools that start and
        await other processes.
    """
    if with_subprocesses:
        eventlet.monkey_patch()
    else:
        eventlet.monkey_patch(time=True)


def spawn(function: Callable, *args, **kwargs) -> Task:
    """Starts ``function`` as a task of the event loop."""
    return eventlet.spawn(function, *args, **kwargs)


def current_task() -> object:
    """Returns the running task, for :func:`interrupt`."""
    return eventlet.getcurrent()


def interrupt(
    task: object, error: Exception, should_interrupt: Callable[[], bool] = lambda: True
) -> None:
    """Raises ``error`` in a waiting task, in the next iteration of the loop.

    :param should_interrupt: called just before; the task may have continued meanwhile.
    """

    def throw() -> None:
        if should_interrupt():
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
    """Runs ``function`` and restarts it after a delay if it fails.

    A background task that ended at its first unexpected error would never renew a
    lease, or probe a target, again.

    :param on_failure: called with the exception of each failure.
    """
    while True:
        try:
            function(*args)
            return
        except Exception as error:
            on_failure(error)
            sleep(RESTART_DELAY_S)


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
