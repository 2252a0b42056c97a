"""The connection pools of all targets in the view."""

from collections.abc import Callable

from ..blackboard import Blackboard
from ..internal.clock import Clock
from ..targets.base import TargetConnection
from ..targets.pool import ConnectionPool

Connect = Callable[[str, str], TargetConnection]


class TargetPools:
    """Keeps one pool for each target; as a context manager, closes them on exit.

    :ivar connect: makes a connection from a target's id and address.
    :ivar frozen: targets to which no connection may be opened; see
        :class:`ConnectionPool`.
    """

    __slots__ = ("blackboard", "connect", "clock", "by_target", "addresses", "frozen")

    def __init__(self, blackboard: Blackboard, connect: Connect, clock: Clock):
        self.blackboard = blackboard
        self.connect = connect
        self.clock = clock
        self.by_target: dict[str, ConnectionPool] = {}
        self.addresses: dict[str, str] = {}
        self.frozen: set[str] = set()

    def __enter__(self) -> "TargetPools":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for pool in self.by_target.values():
            pool.close()

    def of(self, target_id: str) -> ConnectionPool:
        """Returns a target's pool, creating it on first use or a changed address."""
        address = self.blackboard.view.targets[target_id].address
        if self.addresses.get(target_id, address) != address:
            self.by_target.pop(target_id).close()
        pool = self.by_target.get(target_id)
        if pool is None:
            pool = self._create(target_id, address)
        return pool

    def load(self, target_id: str) -> float:
        """Returns a target's running and queued requests, relative to its capacity."""
        return self.of(target_id).admission.load()

    def apply_view(self) -> None:
        """Closes pools of removed targets; reserves write connections at primaries."""
        view = self.blackboard.view
        for target_id in list(self.by_target):
            if target_id not in view.targets:
                self.by_target.pop(target_id).close()
                self.addresses.pop(target_id)
        primaries = {group.primary for group in view.groups.values()}
        for target_id, pool in self.by_target.items():
            pool.admission.serves_writes = target_id in primaries

    def apply_quotas(self) -> None:
        """Applies the blackboard's quotas to the pools."""
        for target_id, pool in self.by_target.items():
            pool.is_frozen = target_id in self.frozen
            pool.set_quota(self.blackboard.quotas.get(target_id, 0))

    def report(self) -> None:
        """Writes held connections and demand to the blackboard."""
        board = self.blackboard
        board.held = {name: pool.held() for name, pool in self.by_target.items()}
        board.demand = {
            name: pool.take_peak_demand() for name, pool in self.by_target.items()
        }

    def _create(self, target_id: str, address: str) -> ConnectionPool:
        pool = ConnectionPool(
            target_id,
            lambda: self.connect(target_id, address),
            self.clock,
            answered_at=lambda: self.blackboard.target_state(target_id).answered_at,
        )
        pool.is_frozen = target_id in self.frozen
        pool.set_quota(self.blackboard.quotas.get(target_id, 0))
        self.by_target[target_id] = pool
        self.addresses[target_id] = address
        self.apply_view()
        return pool
