"""Puts a member together: files, HTTP and the loop."""

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
    """Runs a member inside the block.

    The state machine holds the last snapshot's state when the block begins; the
    log's entries after it are applied as their commitment becomes known.

    :raises CorruptLog: if the data folder is damaged; the member must not start.
    :raises StorageError: if the folder can't be used or is in use.
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
