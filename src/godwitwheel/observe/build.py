"""What code, libraries, Python and machine this process runs."""

import functools
import os
import sys
from pathlib import Path

import xxhash

from .. import __version__

# Modules of the libraries that processes import; each is named like its distribution.
LIBRARIES = (
    "aioprometheus",
    "eliot",
    "eventlet",
    "greenlet",
    "httptools",
    "msgspec",
    "orjson",
    "xxhash",
)
# Characters of a digest that are shown: enough to tell builds apart, short in a log.
DIGEST_LENGTH = 12
LIBRARIES_DIGEST_LENGTH = 6
PACKAGE_FOLDER = Path(__file__).resolve().parent.parent
METADATA_SUFFIX = ".dist-info"

_source_folders = [PACKAGE_FOLDER]


class Build:
    """The code that a process runs, and what runs it.

    :ivar version: version of the package.
    :ivar sources: digest of the source files, in hexadecimal.
    :ivar python: implementation and version of Python.
    :ivar machine: the kernel's name of the processor's architecture.
    :ivar libraries: versions of the imported libraries by name, as their metadata on
        disk names them; empty where there is none.
    """

    __slots__ = ("version", "sources", "python", "machine", "libraries")

    def __init__(
        self,
        version: str,
        sources: str,
        python: str,
        machine: str,
        libraries: dict[str, str],
    ):
        self.version = version
        self.sources = sources
        self.python = python
        self.machine = machine
        self.libraries = libraries

    def summary(self) -> str:
        """Returns one line that differs where two builds differ."""
        libraries = digest([pinned.encode() for pinned in self._pinned()])
        return (
            f"{self.version}-{self.sources} {self.python} {self.machine} "
            f"libraries-{libraries[:LIBRARIES_DIGEST_LENGTH]}"
        )

    def fields(self) -> dict[str, object]:
        """Returns the fields of the event that a process has started."""
        return {
            "version": self.version,
            "sources": self.sources,
            "python": self.python,
            "machine": self.machine,
            "libraries": self.libraries,
        }

    def labels(self) -> dict[str, str]:
        """Returns the labels of the metric ``build_info``."""
        return {**self.fields(), "libraries": " ".join(self._pinned())}

    def _pinned(self) -> list[str]:
        return [f"{name}=={version}" for name, version in self.libraries.items()]


def add_source_folder(folder: Path) -> None:
    """Adds a folder whose sources belong to this program, before it is identified."""
    if folder not in _source_folders:
        _source_folders.append(folder)
        running_build.cache_clear()


@functools.cache
def running_build() -> Build:
    """Returns the build of this process, as its files were at the first call."""
    python = f"{sys.implementation.name}-{'.'.join(map(str, sys.version_info[:3]))}"
    return Build(
        __version__,
        digest_of_sources(_source_folders),
        python,
        os.uname().machine,
        imported_libraries(),
    )


def digest(parts: list[bytes]) -> str:
    """Returns a digest of parts, in which the boundaries between them count."""
    hasher = xxhash.xxh3_128()
    for part in parts:
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    return hasher.hexdigest()[:DIGEST_LENGTH]


def digest_of_sources(folders: list[Path]) -> str:
    """Returns a digest of all source files in folders, whatever the folders' paths."""
    parts = []
    for folder in folders:
        for path in _source_files(str(folder)):
            with open(path, "rb", buffering=0) as file:
                parts += [path[len(str(folder)) :].encode(), file.read()]
    return digest(parts)


def _source_files(folder: str) -> list[str]:
    return sorted(
        f"{path}/{name}"
        for path, _, names in os.walk(folder)
        for name in names
        if name.endswith(".py")
    )


def imported_libraries() -> dict[str, str]:
    """Returns the versions of the libraries that this process has imported.

    The folders that hold them are listed instead of using :mod:`importlib.metadata`,
    whose import takes longer than that of most libraries.
    """
    versions = {}
    for name in LIBRARIES:
        module = sys.modules.get(name)
        path = getattr(module, "__file__", None)
        if path is not None:
            folder = os.path.dirname(os.path.dirname(path))
            versions[name] = _versions_in(folder).get(name, "")
    return versions


@functools.cache
def _versions_in(folder: str) -> dict[str, str]:
    names = [name for name in os.listdir(folder) if name.endswith(METADATA_SUFFIX)]
    stems = [name.removesuffix(METADATA_SUFFIX).partition("-") for name in names]
    return {name: version for name, _, version in stems}
