"""Runs a member with file storage and HTTP transport."""

import contextlib
import os
import random
from collections.abc import Iterator

from ..internal.clock import Clock
from .driver import SNAPSHOT_ENTRIES, ConsensusLog
from .file_storage import FileStorage
from .http_transport import HttpTransport
from .replicated import StateMachine
from .state import ConsensusOptions


@contextlib.contextmanager
def running_log(
    options: ConsensusOptions,
    state_machine: StateMachine,
    data_folder: str | os.PathLike,
    clock: Clock,
    rng: random.Random,
    snapshot_entries: int = SNAPSHOT_ENTRIES,
) -> Iterator[ConsensusLog]:
    """Runs a member while the ``with`` block is active.

    The state machine holds the last snapshot's state when the block begins; later
    entries of the log are applied once this member knows that they are committed.

    :raises CorruptLog: if the data folder is damaged; the member must not start.
    :raises StorageError: if the folder can't be used or another process uses it.
    """
    with contextlib.ExitStack() as stack:
        storage = stack.enter_context(FileStorage(data_folder))
        transport = HttpTransport(options.election_timeout_s)
        stack.enter_context(transport)
        log = ConsensusLog(
            options, state_machine, storage, transport, clock, rng, snapshot_entries
        )
        transport.on_messages = log.handle
        yield stack.enter_context(log)
