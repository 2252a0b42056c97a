"""Installs the libraries of the deploy file's build, and replaces unusable ones.

``install_libraries.py FOLDER REQUIREMENTS``: a folder may come from another kind of
machine, another Python or an installation that was broken off. Distributions that are
complete and that this Python can import stay as they are; without any other, no
package index is asked. Only the standard library is used, as the build has no other.
"""

import argparse
import base64
import csv
import hashlib
import importlib.machinery
import importlib.metadata
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

EXIT_FAILED = 1
# A compiled module that names the Python, and mostly the machine, that it is for.
TAGGED_MODULE = re.compile(r"\.(cpython|pypy|graalpy)[^/.]*\.so$")
# Prints the name of the first module that can't be imported, and why.
IMPORT_ALL = """
import importlib, sys, warnings
warnings.simplefilter("ignore")
for name in sys.argv[1:]:
    try:
        importlib.import_module(name)
    except Exception as error:
        sys.exit(f"{name}: {type(error).__name__}: {error}")
"""


class InstallFailed(Exception):
    """The libraries can't be installed, or can't be imported afterwards."""


class Distribution:
    """A distribution in the folder.

    :ivar files: paths relative to the folder with their recorded digests; the digest is
        empty for files that the installer did not record one for.
    """

    __slots__ = ("folder", "name", "version", "files")

    def __init__(self, folder: Path, metadata: importlib.metadata.Distribution):
        self.folder = folder
        self.name = normalized(metadata.metadata["Name"] or "")
        self.version = metadata.version
        record = metadata.read_text("RECORD") or ""
        # Scripts are recorded where an environment would have them, outside the folder.
        self.files = {
            row[0]: row[1]
            for row in csv.reader(record.splitlines())
            if row and not row[0].startswith("..") and "__pycache__" not in row[0]
        }

    def modules(self) -> list[str]:
        """Returns the names of the outermost modules and packages."""
        found = []
        for path in sorted(self.files, key=lambda path: (path.count("/"), path)):
            *parents, file = path.split("/")
            stem = module_name(file)
            if stem is None or any(not parent.isidentifier() for parent in parents):
                continue
            name = ".".join(parents if stem == "__init__" else [*parents, stem])
            if not any(
                name == other or name.startswith(f"{other}.") for other in found
            ):
                found.append(name)
        return found

    def is_complete(self) -> bool:
        """Whether all files are as they were installed, and fit this Python."""
        return bool(self.files) and all(map(self._is_usable, self.files))

    def _is_usable(self, path: str) -> bool:
        if TAGGED_MODULE.search(path) and module_name(path) is None:
            return False
        algorithm, _, expected = self.files[path].partition("=")
        file = self.folder / path
        if not expected:
            return file.exists()
        try:
            content = file.read_bytes()
        except OSError:
            return False
        found = base64.urlsafe_b64encode(hashlib.new(algorithm, content).digest())
        return found.decode().rstrip("=") == expected


def normalized(name: str) -> str:
    """Returns a distribution's name as the package index compares names."""
    return re.sub(r"[-_.]+", "-", name).lower()


def module_name(path: str) -> str | None:
    """Returns a file's name as a module of this Python, ``None`` if it is none."""
    suffixes = [*importlib.machinery.EXTENSION_SUFFIXES, ".py"]
    for suffix in suffixes:
        stem = path.rpartition("/")[2].removesuffix(suffix)
        if path.endswith(suffix) and stem.isidentifier():
            return stem
    return None


def remove_superseded(folder: Path) -> None:
    """Removes the metadata of versions that another one has been installed over.

    The installer replaces a distribution's files in such a folder, but leaves the
    metadata of the former version.
    """
    by_name: dict[str, list[tuple[bool, Path]]] = {}
    for path in sorted(folder.glob("*.dist-info")):
        each = Distribution(folder, importlib.metadata.Distribution.at(path))
        by_name.setdefault(each.name, []).append((each.is_complete(), path))
    for versions in by_name.values():
        for _, superseded in sorted(versions)[:-1]:
            shutil.rmtree(superseded)


def installed(folder: Path) -> dict[str, Distribution]:
    """Returns the distributions in a folder by normalized name."""
    found = importlib.metadata.distributions(path=[str(folder)])
    distributions = [Distribution(folder, metadata) for metadata in found]
    return {each.name: each for each in distributions}


def read_requirements(path: Path) -> dict[str, str]:
    """Returns the pinned requirements, such as ``msgspec==0.23.0``, by name."""
    lines = [line.partition("#")[0].strip() for line in path.read_text().splitlines()]
    return {normalized(line.partition("==")[0]): line for line in lines if line}


def import_failure(folder: Path, modules: list[str]) -> str:
    """Returns which module this Python can't import and why, or an empty string."""
    command = [sys.executable, "-S", "-c", IMPORT_ALL, *modules]
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    ended = subprocess.run(command, env=environment, capture_output=True, text=True)
    reason = ended.stderr.strip() or f"Python ended with {ended.returncode}"
    return reason.splitlines()[-1] if ended.returncode else ""


def install(folder: Path, requirements: list[str], *options: str) -> None:
    """Installs requirements over what is in the folder.

    :raises InstallFailed: if the installer fails; it has said why.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    command += ["--target", str(folder), *options, *requirements]
    if subprocess.run(command).returncode:
        raise InstallFailed(f"can't install {' '.join(requirements)}")


def missing(folder: Path, requirements: dict[str, str]) -> list[str]:
    """Returns the requirements that no distribution in the folder meets."""
    versions = {name: each.version for name, each in installed(folder).items()}
    return [
        requirement
        for name, requirement in requirements.items()
        if requirement.partition("==")[2] != versions.get(name)
    ]


def unusable(folder: Path) -> list[str]:
    """Returns the distributions that are incomplete, or whose compiled parts fail.

    One that can't be imported only because another is unusable is not among them.
    """
    found = []
    for each in installed(folder).values():
        is_compiled = any(path.endswith(".so") for path in each.files)
        if not each.is_complete() or (
            is_compiled and import_failure(folder, each.modules())
        ):
            found.append(f"{each.name}=={each.version}")
    return sorted(found)


def bring_up_to_date(folder: Path, requirements: dict[str, str]) -> None:
    """Installs what is missing and replaces what is unusable.

    :raises InstallFailed: if this Python still can't import a library.
    """
    remove_superseded(folder)
    replaced = unusable(folder)
    if replaced:
        print(f"{folder}: replaces {' '.join(replaced)}", file=sys.stderr)
        install(folder, replaced, "--no-deps")
    absent = missing(folder, requirements)
    if absent:
        install(folder, absent)
        remove_superseded(folder)
    if first_failure(folder, requirements):
        # Another Python may need other dependencies.
        install(folder, list(requirements.values()))
    failure = first_failure(folder, requirements)
    if failure:
        raise InstallFailed(f"{sys.executable} can't import {failure}")


def first_failure(folder: Path, requirements: dict[str, str]) -> str:
    """Returns why a required library can't be imported, or an empty string."""
    distributions = installed(folder)
    modules = []
    for name in requirements:
        if name not in distributions:
            return f"{name}: not installed"
        modules += distributions[name].modules()
    return import_failure(folder, modules)


def main() -> int:
    """Reads the command line, installs, and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("requirements", type=Path)
    arguments = parser.parse_args()
    try:
        bring_up_to_date(arguments.folder, read_requirements(arguments.requirements))
    except InstallFailed as error:
        print(f"install_libraries: {error}", file=sys.stderr)
        return EXIT_FAILED
    # The folder is as new as its last check.
    os.utime(arguments.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
