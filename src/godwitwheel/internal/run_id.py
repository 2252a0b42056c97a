"""Ids that tell a run of a process from its earlier ones."""

import secrets

RUN_ID_BYTES = 4


def new_run_id() -> str:
    """Returns a random id of this run of the process.

    It is the prefix of the ids that the process issues, so that an id of an earlier run
    is never taken for one of this run.
    """
    return secrets.token_hex(RUN_ID_BYTES)
