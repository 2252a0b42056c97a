"""Collects the service files below given folders into one configuration."""

import os
from collections.abc import Iterator
from pathlib import Path

from ..wire.service import Service
from .errors import InvalidServiceFiles
from .service_file import read_service_file

FILE_SUFFIX = ".godwitwheel.toml"


def find_files(folder: Path) -> Iterator[Path]:
    """Yields the service files below a folder, or the path itself if it is a file.

    Hidden folders and links to folders are skipped.
    """
    if folder.is_file():
        yield folder
        return
    for parent, folders, files in os.walk(folder):
        folders[:] = sorted(name for name in folders if not name.startswith("."))
        for name in sorted(files):
            if name.endswith(FILE_SUFFIX):
                yield Path(parent, name)


def collect_services(folders: list[str]) -> dict[str, Service]:
    """Reads every service file below the given folders.

    :raises InvalidServiceFiles: naming every fault of every file.
    """
    problems = []
    paths: dict[str, Path] = {}
    for folder in folders:
        found = {os.path.realpath(path): path for path in find_files(Path(folder))}
        if not found:
            problems.append(f"{folder}: expected a folder with *{FILE_SUFFIX} in it")
        for real_path, path in found.items():
            paths.setdefault(real_path, path)
    services = _read_all(paths.values(), problems)
    if problems:
        raise InvalidServiceFiles(problems)
    return services


def _read_all(paths: Iterator[Path], problems: list[str]) -> dict[str, Service]:
    services: dict[str, Service] = {}
    origins: dict[str, Path] = {}
    for path in paths:
        try:
            service = read_service_file(path)
        except InvalidServiceFiles as error:
            problems += error.problems
            continue
        origin = origins.setdefault(service.name, path)
        if origin is not path:
            problems.append(
                f"{path}: service: got {service.name!r}, which {origin} declares too"
            )
        services[service.name] = service
    return services
