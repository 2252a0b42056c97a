"""Child processes of a deployment; only processes started here are signalled."""

import signal
import subprocess
import sys
from pathlib import Path

from tests.common.processes import process_environment


class ManagedProcess:
    """A child process that can be killed, paused and started again.

    :ivar process_id: name of the process in the deployment, not its PID.
    :ivar module: module that ``python -m`` runs.
    :ivar source_ip: address that its outgoing connections come from, or empty.
    :ivar output: file to which its standard output and error are appended.
    """

    __slots__ = ("process_id", "module", "arguments", "source_ip", "output", "child")

    def __init__(
        self,
        process_id: str,
        module: str,
        arguments: list[str],
        output: Path,
        source_ip: str = "",
    ):
        self.process_id = process_id
        self.module = module
        self.arguments = arguments
        self.output = output
        self.source_ip = source_ip
        self.child: subprocess.Popen | None = None

    def command(self) -> list[str]:
        """Returns the command line."""
        if self.source_ip:
            launch = ["bench.launch", self.source_ip, self.module]
        else:
            launch = [self.module]
        return [sys.executable, "-m", *launch, *self.arguments]

    def environment(self) -> dict[str, str]:
        """Returns the environment of the process."""
        return process_environment()

    def start(self) -> None:
        """Starts the process; it must not be running."""
        assert not self.is_running(), f"{self.process_id} is already running"
        with self.output.open("ab") as output:
            self.child = subprocess.Popen(
                self.command(),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self.environment(),
            )

    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """Kills the process (``SIGKILL``) and waits for its end."""
        if self.is_running():
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def pause(self) -> None:
        """Pauses the process (``SIGSTOP``)."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self.child.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful stop (``SIGTERM``)."""
        if self.is_running():
            self.child.send_signal(signal.SIGTERM)

    def wait(self, limit_s: float) -> int:
        """Waits for the process to exit and returns the exit code.

        :raises subprocess.TimeoutExpired: if it still runs after ``limit_s`` seconds.
        """
        return self.child.wait(limit_s)
