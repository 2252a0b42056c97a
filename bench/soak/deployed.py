"""Starts processes with the commands of the deploy file, as the platform does."""

import os
import shlex
import subprocess
import tomllib
from pathlib import Path

from fleet.settings import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
LIBRARIES = ROOT / "target" / "deps"


class DeployFile:
    """How the platform builds the system and runs each role.

    :ivar build_command: passed to a shell in the root of the checkout.
    :ivar roles: the section of each role, by name.
    """

    __slots__ = ("build_command", "roles")

    def __init__(self, path: Path = DEPLOY_FILE):
        content = tomllib.loads(path.read_text())
        self.build_command: str = content["build"]
        self.roles: dict[str, dict] = content["roles"]

    def build(self) -> None:
        """Builds the system.

        :raises subprocess.CalledProcessError: if the build fails.
        """
        subprocess.run(self.build_command, shell=True, cwd=ROOT, check=True)

    def command(self, role: str, host: str, internal_port: int) -> list[str]:
        """Returns the command line of a role, to be run in the root of the checkout."""
        line = self.roles[role]["run"]
        line = line.replace("{{ip}}", host)
        return shlex.split(
            line.replace("{{internal_port_range.0}}", str(internal_port))
        )

    def environment(self, role: str, settings: Path) -> dict[str, str]:
        """Returns all that a process of a role receives."""
        return {
            "PATH": os.environ["PATH"],
            "HOME": str(settings.parent),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(LIBRARIES),
            SETTINGS_VARIABLE: str(settings),
            **self.roles[role].get("env", {}),
        }
