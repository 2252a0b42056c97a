"""Metrics of one process, in a registry of its own."""

import math
import os
import resource
from abc import abstractmethod

from ..internal.imports import without_module
from .build import running_build

# aioprometheus imports asyncio for its decorators and its server.
with without_module("asyncio"):
    from aioprometheus import Counter, Gauge, Histogram, Registry, render

NAME_PREFIX = "godwitwheel_"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_seconds() -> float:
    """Returns the processor time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def label_value(text: str) -> str:
    """Returns a name from outside as the value of a label.

    The library writes values into lines as they are; a quote or backslash in one would
    make the whole page unreadable.
    """
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


class ProcessMetrics:
    """Creates metrics and renders them all.

    Every name gets the prefix ``godwitwheel_``, every sample the labels ``process``
    and ``role``.
    """

    __slots__ = ("registry", "labels", "processor_time", "resident_memory")

    def __init__(self, process_id: str, role: str):
        self.registry = Registry()
        self.labels = {"process": process_id, "role": role}
        self.processor_time = self.counter(
            "processor_seconds_total", "Processor time used, in seconds."
        )
        self.resident_memory = self.gauge("resident_bytes", "Resident memory in bytes.")
        build_info = self.gauge("build_info", "1, labelled with what the process runs.")
        build_info.set(running_build().labels(), 1)

    def counter(self, name: str, doc: str) -> Counter:
        """Creates a counter; ``inc`` and ``add`` take a dict of labels first."""
        return Counter(NAME_PREFIX + name, doc, self.labels, self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Creates a gauge; ``set`` takes a dict of labels first."""
        return Gauge(NAME_PREFIX + name, doc, self.labels, self.registry)

    def histogram(self, name: str, doc: str, buckets: list[float]) -> Histogram:
        """Creates a histogram; ``observe`` takes a dict of labels first.

        :param buckets: finite upper bounds, ascending.
        """
        bounds = [*buckets, math.inf]
        return Histogram(NAME_PREFIX + name, doc, self.labels, self.registry, bounds)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.processor_time.set({}, processor_seconds())
        self.resident_memory.set({}, resident_bytes())
        content, _ = render(self.registry, [])
        return content


class SampledMetrics(ProcessMetrics):
    """Gauges whose values are read when the metrics are rendered.

    :ivar gauges: gauges by name, as ``descriptions`` lists them.
    """

    __slots__ = ("gauges",)

    descriptions: dict[str, str] = {}

    def __init__(self, process_id: str, role: str):
        super().__init__(process_id, role)
        self.gauges = {
            name: self.gauge(name, doc) for name, doc in self.descriptions.items()
        }

    @abstractmethod
    def values(self) -> dict[str, float]:
        """Returns the current value of each gauge."""

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        for name, value in self.values().items():
            self.gauges[name].set({}, value)
        return super().render()
