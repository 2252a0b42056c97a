"""Command lines of a deployment's processes."""

from pathlib import Path

from godwitwheel.wire.target import Role

from .processes import ManagedProcess
from .topology import SERVICES, Topology


class Member:
    """One process of a deployment: a control member, a proxy or a target.

    :ivar kind: ``control``, ``proxy`` or ``target``.
    :ivar listen: address that it listens on.
    :ivar advertise: address that other processes connect to: the relay's, if there is
        one.
    """

    __slots__ = ("process", "kind", "data_centre", "group", "listen", "advertise")

    def __init__(
        self,
        process: ManagedProcess,
        kind: str,
        data_centre: str,
        group: str,
        listen: str,
        advertise: str,
    ):
        self.process = process
        self.kind = kind
        self.data_centre = data_centre
        self.group = group
        self.listen = listen
        self.advertise = advertise


def data_folder(folder: Path, process_id: str) -> Path:
    """Returns the data folder of a process."""
    return folder / f"{process_id}.data"


def joined_addresses(members: list[Member]) -> str:
    """Returns the members' addresses, comma-separated for a flag."""
    return ",".join(member.advertise for member in members)


class CommandLines:
    """Builds each process's arguments, which name the other processes' addresses."""

    __slots__ = ("topology", "members", "folder", "lag_ms")

    def __init__(
        self,
        topology: Topology,
        members: dict[str, Member],
        folder: Path,
        lag_ms: int,
    ):
        self.topology = topology
        self.members = members
        self.folder = folder
        self.lag_ms = lag_ms

    def arguments(self, member: Member) -> list[str]:
        """Returns the arguments of one process."""
        if member.kind == "control":
            return self._control_arguments(member)
        if member.kind == "proxy":
            return self._proxy_arguments(member)
        return self._target_arguments(member)

    def _of_kind(self, kind: str) -> list[Member]:
        return [member for member in self.members.values() if member.kind == kind]

    def _common_arguments(self, member: Member) -> list[str]:
        return [
            *("--id", member.process.process_id),
            *("--data-centre", member.data_centre),
            *("--listen", member.listen),
            *("--advertise", member.advertise),
        ]

    def _log_arguments(self, member: Member) -> list[str]:
        return ["--log-file", str(self.folder / f"{member.process.process_id}.log")]

    def _control_arguments(self, member: Member) -> list[str]:
        members = self._of_kind("control")
        return [
            "control",
            *self._common_arguments(member),
            "--data-folder",
            str(data_folder(self.folder, member.process.process_id)),
            "--members",
            ",".join(f"{m.process.process_id}={m.advertise}" for m in members),
            *self._log_arguments(member),
        ]

    def _proxy_arguments(self, member: Member) -> list[str]:
        return [
            "proxy",
            *self._common_arguments(member),
            *("--control", joined_addresses(self._of_kind("control"))),
            *self._log_arguments(member),
        ]

    def _target_arguments(self, member: Member) -> list[str]:
        topology = self.topology
        group = [m for m in self.members.values() if m.group == member.group]
        role = Role.primary if member is group[0] else Role.replica
        arguments = [
            *self._common_arguments(member),
            *("--group", member.group),
            *("--announce", joined_addresses(self._of_kind("proxy"))),
            *("--role", role),
            "--folder",
            str(data_folder(self.folder, member.process.process_id)),
            *("--schema", str(SERVICES / "schema.sql")),
            *("--lag-ms", str(self.lag_ms)),
            *("--slots", str(topology.slots)),
            *("--connection-cap", str(topology.connection_cap)),
            *("--statement-ms", str(topology.statement_ms)),
        ]
        if role is Role.replica:
            arguments += ["--follow", group[0].advertise]
        return arguments
