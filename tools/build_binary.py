"""Builds ``dist/godwitwheel``, one executable file with all its dependencies.

The file contains this checkout's package and the distributions that it depends on,
as installed in the running environment, so the build needs no network.
"""

import argparse
import importlib.metadata
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "godwitwheel"
ENTRY_POINT = "godwitwheel.cli.main:main"
INTERPRETER = "/usr/bin/env python3"


def needed_distributions(name: str) -> set[str]:
    """Returns the names of a distribution's transitive dependencies, without extras."""
    found: set[str] = set()
    waiting = [name]
    while waiting:
        for text in importlib.metadata.requires(waiting.pop()) or []:
            requirement = Requirement(text)
            marker = requirement.marker
            if marker is not None and not marker.evaluate({"extra": ""}):
                continue
            if requirement.name not in found:
                found.add(requirement.name)
                waiting.append(requirement.name)
    return found


def copy_distribution(name: str, folder: Path) -> None:
    """Copies the installed files of a distribution, without scripts and caches."""
    for file in importlib.metadata.files(name):
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def build(output: Path) -> None:
    """Builds the executable file.

    :raises subprocess.CalledProcessError: if shiv fails.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "src" / PACKAGE, folder / PACKAGE, ignore=ignored)
        for name in sorted(needed_distributions(PACKAGE)):
            copy_distribution(name, folder)
        shiv = [sys.executable, "-m", "shiv", "--compressed", "--site-packages"]
        shiv += [str(folder), "--output-file", str(output), "--python", INTERPRETER]
        subprocess.run([*shiv, "--entry-point", ENTRY_POINT], check=True)


def main() -> None:
    """Reads the output path and builds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=ROOT / "dist" / PACKAGE)
    build(parser.parse_args().output)


if __name__ == "__main__":
    main()
