"""The state of the links between a deployment's processes."""

import msgspec

from godwitwheel.internal.loop import Event, sleep


class SetLinks(msgspec.Struct, frozen=True):
    """Request to replace the state of all links.

    :ivar cuts: pairs of process ids whose link is cut in both directions.
    :ivar latency_ms: one-way latency of pairs; others have none.
    """

    cuts: list[tuple[str, str]] = []
    latency_ms: list[tuple[str, str, float]] = []


class Links:
    """The links that are cut, and the latency of the others.

    :ivar changed: event of the next change; triggered and replaced by each change.
    """

    __slots__ = ("cuts", "latency_s", "changed")

    def __init__(self):
        self.cuts: set[frozenset[str]] = set()
        self.latency_s: dict[frozenset[str], float] = {}
        self.changed = Event()

    def replace(self, links: SetLinks) -> None:
        """Replaces the state of all links and wakes the waiting tasks."""
        self.cuts = {frozenset(pair) for pair in links.cuts}
        self.latency_s = {
            frozenset((one, other)): latency / 1000
            for one, other, latency in links.latency_ms
        }
        changed, self.changed = self.changed, Event()
        changed.send()

    def wait_for_link(self, pair: frozenset[str]) -> None:
        """Waits for the pair's latency, and then as long as its link is cut."""
        sleep(self.latency_s.get(pair, 0.0))
        while pair in self.cuts:
            self.changed.wait()
