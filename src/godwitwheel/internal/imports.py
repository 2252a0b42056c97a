"""Shortens the import of libraries, which takes most of the time to start a process.

After a loss of power no caller is served until the processes have started.
"""

import contextlib
import sys
import types
from collections.abc import Iterator


@contextlib.contextmanager
def without_module(name: str) -> Iterator[None]:
    """Lets libraries import an empty module in place of one that they don't use.

    A module that has been imported already stays as it is. After the block, an import
    gets the real module.

    :param name: module that the libraries imported in the block refer to only from
        functions that this process doesn't call.
    """
    if name in sys.modules:
        yield
        return
    sys.modules[name] = types.ModuleType(name)
    try:
        yield
    finally:
        del sys.modules[name]
