"""The command that operators publish with."""

import contextlib
import sys
import uuid

from ..internal.sentinel import not_set
from .command import Command
from .exit_status import (
    EXIT_CONFLICT,
    EXIT_DONE,
    EXIT_ID_REUSED,
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
    EXIT_UNKNOWN,
)
from .options import Option
from .processes import CONTROL, LOG_FILE
from .values import number_between, parse_name, whole_number_from


class PublishCommand(Command):
    """Exit status: 0 in force at every live proxy; 1 no leader found or refused,
    nothing changed; 2 bad settings or service files, nothing sent; 3 conflict with
    another publish, nothing changed; 4 publish id reused, nothing changed; 5
    published, but not seen in force everywhere in time; 6 sent, but never answered:
    resend with the printed flags to learn the outcome."""

    name = "publish"
    help = "collect the service files below each DIR and publish them together"
    positional = "DIR"
    options = [
        CONTROL,
        Option(
            "expected_revision",
            "revision to replace, else the current one",
            whole_number_from(0),
            None,
            "NUMBER",
        ),
        Option(
            "publish_id",
            "identity of this publish, else a random one; repeat it to resend",
            parse_name,
            "",
            "ID",
        ),
        Option(
            "timeout_s",
            "longest wait for an answer, 1 to 600 seconds",
            number_between(1, 600),
            15.0,
            "SECONDS",
        ),
        Option(
            "wait_s",
            "longest wait until it is in force at every proxy, 0 to 600 seconds",
            number_between(0, 600),
            16.0,
            "SECONDS",
        ),
        LOG_FILE,
    ]

    def run(self, values: dict[str, object], paths: list[str]) -> int:
        from ..publish.collect import collect_services
        from ..publish.errors import InvalidServiceFiles
        from ..wire.client import Client

        try:
            services = collect_services(paths)
        except InvalidServiceFiles as error:
            for problem in error.problems:
                print(f"godwitwheel publish: {problem}", file=sys.stderr)
            return EXIT_INVALID
        publish_id = values["publish_id"] or str(uuid.uuid4())
        with self.log(values["log_file"], publish_id), Client() as client:
            return self.publish(values, publish_id, services, client)

    def log(self, path: str, publish_id: str) -> contextlib.AbstractContextManager:
        """Records events if a log file is given; standard error is for operators."""
        from ..observe.log import process_log

        if not path:
            return contextlib.nullcontext()
        return process_log(path, publish_id, self.name, "")

    def publish(self, values: dict, publish_id: str, services: dict, client) -> int:
        """Publishes, waits, and returns the exit status."""
        from ..publish.control_client import ControlClient
        from ..publish.errors import ControlUnreachable, OutcomeUnknown
        from ..publish.publisher import Publisher
        from ..wire.control import PublishStatus

        control = ControlClient(values["control"], client, values["timeout_s"])
        publisher = Publisher(control, publish_id, print)
        expected = values["expected_revision"]
        if expected is None:
            expected = not_set
        try:
            reply = publisher.publish(services, expected)
        except OutcomeUnknown as error:
            print(
                f"godwitwheel publish: outcome unknown: {error}\n"
                f"To learn it, publish the same files with --publish-id {publish_id} "
                f"--expected-revision {publisher.expected_revision}",
                file=sys.stderr,
            )
            return EXIT_UNKNOWN
        if reply.status is PublishStatus.conflict:
            return EXIT_CONFLICT
        if reply.status is PublishStatus.id_reused:
            return EXIT_ID_REUSED
        try:
            seen = publisher.wait_in_force(reply.revision, values["wait_s"])
        except ControlUnreachable as error:
            print(f"godwitwheel publish: not seen in force: {error}", file=sys.stderr)
            return EXIT_NOT_IN_FORCE
        return EXIT_DONE if seen else EXIT_NOT_IN_FORCE
