"""The state of the links between a deployment's processes."""

import msgspec

from godwitwheel.internal.loop import Event, sleep


class SetLinks(msgspec.Struct, frozen=True):
    """The state of all links from now on.

    :ivar cuts: pairs of process ids whose link is cut, both ways.
    :ivar latency_ms: one-way latency of pairs; others have none.
    """

    cuts: list[tuple[str, str]] = []
    latency_ms: list[tuple[str, str, float]] = []


class Links:
    """Which links are cut, and how long bytes take.

    :ivar changed: sent and replaced at every change.
    """

    __slots__ = ("cuts", "latency_s", "changed")

    def __init__(self):
        self.cuts: set[frozenset[str]] = set()
        self.latency_s: dict[frozenset[str], float] = {}
        self.changed = Event()

    def replace(self, links: SetLinks) -> None:
        """Takes over a new state and wakes whatever waits for it."""
        self.cuts = {frozenset(pair) for pair in links.cuts}
        self.latency_s = {
            frozenset((one, other)): latency / 1000
            for one, other, latency in links.latency_ms
        }
        changed, self.changed = self.changed, Event()
        changed.send()

    def hold_back(self, pair: frozenset[str]) -> None:
        """Returns after the pair's latency, and not while its link is cut."""
        sleep(self.latency_s.get(pair, 0.0))
        while pair in self.cuts:
            self.changed.wait()
